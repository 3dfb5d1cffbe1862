package enroller

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// encode returns a roll message with entries, or with a request for all entries.
func encode(now time.Time, entries []Announced, request bool) redwingshunt.Message {
	roll := newRoll(now, entries)
	roll.Ask = request
	return message(roll)
}

// newRoll returns a roll with entries.
func newRoll(now time.Time, entries []Announced) *wire.Roll {
	roll := &wire.Roll{}
	for _, announced := range entries {
		address, err := announced.State.Address.MarshalBinary()
		if err != nil {
			continue // unreachable: MarshalBinary returns no error
		}
		roll.Entries = append(roll.Entries, &wire.RollEntry{
			Id: string(announced.State.ID), Service: string(announced.State.Service),
			Region: string(announced.State.Region), Zone: string(announced.State.Zone),
			Address: address, Slots: uint32(announced.State.Slots), Version: announced.State.Version,
			Born: announced.State.Born.UnixMilli(), Sequence: announced.State.Sequence, Leaving: announced.State.Leaving,
			Age: uint32(announced.Age / time.Millisecond), Ttl: uint32(announced.State.TTL / time.Millisecond),
			Cold: encodeCold(now, announced.State),
		})
	}
	return roll
}

// message returns a roll as a message.
func message(roll *wire.Roll) redwingshunt.Message {
	payload, err := proto.Marshal(roll)
	if err != nil {
		payload = nil // unreachable: all strings are valid UTF-8
	}
	return redwingshunt.Message{Kind: redwingshunt.KindRoll, Payload: payload}
}

// decode returns the state in an entry and the age of its announcement. It returns
// an error if the address is invalid.
func decode(now time.Time, record *wire.RollEntry) (redwingshunt.UpstreamState, time.Duration, error) {
	var address netip.AddrPort
	if err := address.UnmarshalBinary(record.GetAddress()); err != nil {
		return redwingshunt.UpstreamState{}, 0, err
	}
	state := redwingshunt.UpstreamState{
		Upstream: redwingshunt.Upstream{
			ID: redwingshunt.UpstreamID(record.GetId()), Service: redwingshunt.ServiceID(record.GetService()),
			Region: redwingshunt.RegionID(record.GetRegion()), Zone: redwingshunt.ZoneID(record.GetZone()),
			Address: address, Slots: int(record.GetSlots()), Version: record.GetVersion(),
		},
		Born:     time.UnixMilli(record.GetBorn()),
		Sequence: record.GetSequence(),
		TTL:      time.Duration(record.GetTtl()) * time.Millisecond,
		Leaving:  record.GetLeaving(),

		ColdUnknown: record.Cold == nil,
	}
	if record.GetCold() > 0 {
		state.Cold = now.Add(milliseconds(record.GetCold()))
	}
	return state, time.Duration(record.GetAge()) * time.Millisecond, nil
}

// encodeCold returns the milliseconds for which an upstream is cold, or nil if that is
// unknown. It is not a point in time, since the clocks of instances differ.
func encodeCold(now time.Time, s redwingshunt.UpstreamState) *uint64 {
	if s.ColdUnknown {
		return nil
	}
	remaining := uint64(min(max(s.Cold.Sub(now), 0), maxAge).Milliseconds())
	return &remaining
}

// encodeVersions returns the versions of all services, with ages in place of times,
// since the clocks of instances differ.
func encodeVersions(now time.Time, services map[redwingshunt.ServiceID][]redwingshunt.VersionSpan) []*wire.VersionSpan {
	var encoded []*wire.VersionSpan
	for service, spans := range services {
		for _, span := range spans {
			encoded = append(encoded, &wire.VersionSpan{
				Service: string(service), Version: span.Version, First: age(now, span.First), Last: age(now, span.Last),
			})
		}
	}
	return encoded
}

func decodeVersions(now time.Time, encoded []*wire.VersionSpan) map[redwingshunt.ServiceID][]redwingshunt.VersionSpan {
	services := make(map[redwingshunt.ServiceID][]redwingshunt.VersionSpan)
	for _, span := range encoded {
		service := redwingshunt.ServiceID(span.GetService())
		services[service] = append(services[service], redwingshunt.VersionSpan{
			Version: span.GetVersion(), First: now.Add(-milliseconds(span.GetFirst())), Last: now.Add(-milliseconds(span.GetLast())),
		})
	}
	return services
}

// maxAge bounds ages in messages.
const maxAge = 365 * 24 * time.Hour

// age returns the milliseconds from a time until now.
func age(now, at time.Time) uint64 { return uint64(min(max(now.Sub(at), 0), maxAge).Milliseconds()) }

// milliseconds returns an age in a message, at most maxAge.
func milliseconds(n uint64) time.Duration {
	return time.Duration(min(n, uint64(maxAge.Milliseconds()))) * time.Millisecond
}
