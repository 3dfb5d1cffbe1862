package enroller

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// encode returns the message that tells of entries or asks for all.
func encode(entries []Announced, ask bool) redwingshunt.Message {
	roll := &wire.Roll{Ask: ask}
	for _, a := range entries {
		address, err := a.State.Address.MarshalBinary()
		if err != nil {
			continue // cannot happen: the method knows no error
		}
		roll.Entries = append(roll.Entries, &wire.RollEntry{
			Id: string(a.State.ID), Service: string(a.State.Service),
			Region: string(a.State.Region), Zone: string(a.State.Zone),
			Address: address, Slots: uint32(a.State.Slots), Version: a.State.Version,
			Born: a.State.Born.UnixMilli(), Sequence: a.State.Sequence, Leaving: a.State.Leaving,
			Age: uint32(a.Age / time.Millisecond), Ttl: uint32(a.State.TTL / time.Millisecond),
		})
	}
	payload, err := proto.Marshal(roll)
	if err != nil {
		payload = nil // cannot happen: all strings come from valid UTF-8
	}
	return redwingshunt.Message{Kind: redwingshunt.KindRoll, Payload: payload}
}

// decode returns an entry and the age of its announcement.
func decode(record *wire.RollEntry) (redwingshunt.UpstreamState, time.Duration, error) {
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
	}
	return state, time.Duration(record.GetAge()) * time.Millisecond, nil
}
