package registrar

// This file implements evacuations of availability zones. They have a revision of
// their own: they change neither the document nor its revision, and a change of the
// document keeps them.
//
// An order is retried, and a copy of it may reach the log long after a later order for
// the same zone. Each command therefore carries the state that its proposer knew. A zone
// that has had an order since is left as it is. Every other order takes a revision, even
// if it changes nothing, so that it supersedes older ones.

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// MaxZones limits the availability zones whose state is stored, and maxZoneBytes the
// name of one.
const (
	MaxZones     = 256
	maxZoneBytes = 255
)

// Evacuations are the availability zones whose upstreams get no new requests. A value
// is immutable.
type Evacuations struct {
	Revision redwingshunt.Revision // zero if there never was one
	At       time.Time             // when the revision was accepted
	Zones    []redwingshunt.ZoneID // ordered
	Orders   []Order               // the last one for each zone, in order of the zones
}

// Order is the last order for an availability zone.
type Order struct {
	Zone     redwingshunt.ZoneID
	Revision redwingshunt.Revision
	Ended    bool // the order ended the evacuation
}

// Has reports whether an availability zone is evacuated.
func (e Evacuations) Has(zone redwingshunt.ZoneID) bool { return slices.Contains(e.Zones, zone) }

// Evacuate encodes a command that starts the evacuation of an availability zone, or
// ends it. known is a state of the log that the proposer knows; the command has no effect
// if the zone has had a later order.
func Evacuate(at time.Time, zone redwingshunt.ZoneID, end bool, known Evacuations) ([]byte, error) {
	c := &wire.EvacuateCommand{Zone: string(zone), End: end, Known: EncodeEvacuations(known)}
	return encode(at, &wire.RegistrarCommand{Command: &wire.RegistrarCommand_Evacuate{Evacuate: c}})
}

// EncodeEvacuations encodes evacuations for other instances. It returns nil if there
// never was one.
func EncodeEvacuations(e Evacuations) *wire.EvacuationsRecord {
	if e.Revision == 0 {
		return nil
	}
	record := &wire.EvacuationsRecord{Revision: uint64(e.Revision), At: encodeTime(e.At)}
	for _, order := range e.Orders {
		record.Zones = append(record.Zones, &wire.EvacuationRecord{
			Zone: string(order.Zone), Revision: uint64(order.Revision), Ended: order.Ended,
		})
	}
	return record
}

// DecodeEvacuations decodes evacuations from the log or another instance.
func DecodeEvacuations(record *wire.EvacuationsRecord) Evacuations {
	e := Evacuations{Revision: redwingshunt.Revision(record.GetRevision()), At: decodeTime(record.GetAt())}
	for _, zone := range record.GetZones() {
		e.Orders = append(e.Orders, Order{
			Zone: redwingshunt.ZoneID(zone.GetZone()), Revision: redwingshunt.Revision(zone.GetRevision()), Ended: zone.GetEnded(),
		})
		if !zone.GetEnded() {
			e.Zones = append(e.Zones, redwingshunt.ZoneID(zone.GetZone()))
		}
	}
	return e
}

// evacuate handles an order. The reply has the state after it.
func (r *Registrar) evacuate(c *wire.EvacuateCommand, at time.Time) *wire.RegistrarReply {
	if c.GetZone() == "" || len(c.GetZone()) > maxZoneBytes {
		return &wire.RegistrarReply{Error: fmt.Sprintf("an availability zone must have 1 to %d bytes", maxZoneBytes)}
	}
	next := adoptNewer(r.evacuations, c.GetKnown())
	i, found := findZone(next, c.GetZone())
	if !found && len(next.GetZones()) >= MaxZones && !dropOldestEnded(next) {
		return &wire.RegistrarReply{Error: fmt.Sprintf("%d availability zones are evacuated already", MaxZones)}
	}
	if !found {
		i, _ = findZone(next, c.GetZone())
		next.Zones = slices.Insert(next.Zones, i, &wire.EvacuationRecord{Zone: c.GetZone()})
	}
	if record := next.GetZones()[i]; record.GetRevision() <= c.GetKnown().GetRevision() {
		next.Revision++
		next.At = at.UnixNano()
		record.Revision, record.Ended = next.GetRevision(), c.GetEnd()
	}
	if next.GetRevision() != r.evacuations.GetRevision() {
		r.evacuations = next
		if r.state.Revision != 0 {
			r.accept(r.state)
		}
	}
	return &wire.RegistrarReply{Evacuations: r.evacuations}
}

// adoptNewer returns a copy of a state with the zones of another state that changed
// later. The result equals the state unless this replica applied orders by a version
// that did not know them.
func adoptNewer(state, known *wire.EvacuationsRecord) *wire.EvacuationsRecord {
	next := &wire.EvacuationsRecord{}
	if state != nil {
		next = proto.CloneOf(state)
	}
	if known.GetRevision() <= next.GetRevision() {
		return next
	}
	next.Revision, next.At = known.GetRevision(), known.GetAt()
	for _, record := range known.GetZones() {
		i, found := findZone(next, record.GetZone())
		switch {
		case !found:
			next.Zones = slices.Insert(next.Zones, i, proto.CloneOf(record))
		case next.GetZones()[i].GetRevision() < record.GetRevision():
			next.Zones[i] = proto.CloneOf(record)
		}
	}
	return next
}

func findZone(state *wire.EvacuationsRecord, zone string) (int, bool) {
	return slices.BinarySearchFunc(state.GetZones(), zone, func(record *wire.EvacuationRecord, name string) int {
		return cmp.Compare(record.GetZone(), name)
	})
}

// dropOldestEnded removes the zone whose evacuation ended first, and reports whether
// there was one.
func dropOldestEnded(state *wire.EvacuationsRecord) bool {
	oldest := -1
	for i, record := range state.GetZones() {
		if record.GetEnded() && (oldest < 0 || record.GetRevision() < state.GetZones()[oldest].GetRevision()) {
			oldest = i
		}
	}
	if oldest >= 0 {
		state.Zones = slices.Delete(state.Zones, oldest, oldest+1)
	}
	return oldest >= 0
}
