package redwingshunt

import (
	"fmt"
	"time"
	"unicode/utf8"
)

const (
	// MaxUpstreamNameBytes bounds the texts of an announcement, in bytes.
	MaxUpstreamNameBytes = 128
	// MaxUpstreamSlots bounds the slots of an upstream.
	MaxUpstreamSlots = 4096
	// maxSequence is the largest whole number that any JSON encoder writes exactly.
	maxSequence = 1 << 53
	// maxStartAhead is how far the clock of an upstream may be ahead. The announcement
	// of a later start would outrank all real ones.
	maxStartAhead = time.Hour
)

// Validate returns an error that names the first value with which an upstream cannot
// be used or its state cannot be passed on.
func (s UpstreamState) Validate(now time.Time) error {
	texts := map[string]string{
		"id": string(s.ID), "service": string(s.Service), "region": string(s.Region), "zone": string(s.Zone), "version": s.Version,
	}
	for _, name := range []string{"id", "service", "region", "zone", "version"} {
		if len(texts[name]) > MaxUpstreamNameBytes || !utf8.ValidString(texts[name]) {
			return fmt.Errorf("%s is not UTF-8 of at most %d bytes", name, MaxUpstreamNameBytes)
		}
	}
	address := s.Address.Addr()
	switch {
	case s.ID == "":
		return fmt.Errorf("id is missing")
	case !s.Address.IsValid() || s.Address.Port() == 0 || address.IsUnspecified() || address.IsMulticast():
		return fmt.Errorf("address %q is not an IP number and a port, as in 10.0.0.7:8000", s.Address)
	case s.Slots < 1 || s.Slots > MaxUpstreamSlots:
		return fmt.Errorf("slots %d is not from 1 to %d", s.Slots, MaxUpstreamSlots)
	case s.Sequence > maxSequence:
		return fmt.Errorf("sequence %d is too large", s.Sequence)
	case !s.Born.IsZero() && (s.Born.Before(time.Unix(0, 0)) || s.Born.After(now.Add(maxStartAhead))):
		return fmt.Errorf("the start %s is not in the past", s.Born.UTC().Format(time.RFC3339))
	}
	return nil
}
