// Package exchanger counts the service that client accounts have received and
// merges the counters of the owners of one service over the whole fleet.
//
// Service is counted in units of virtual time: cost divided by share. Each
// origin (an instance in one incarnation) has a column of monotone counters
// that it alone raises, so a merge takes the larger value and is idempotent
// and free of order. The virtual time of an account is the sum of its columns
// and a lift, which places an account that returns from idle beside the others.
//
// Example: owner A has served account x 300 units and owner B 200. A merges
// B's digest once or twice, in any order, and holds a virtual time of 500 for
// x. When B restarts, its new incarnation counts from zero in a new column
// while the old column stays until Fold moves it into the lift.
//
// # Usage
//
//	l := exchanger.NewLedger(exchanger.Origin{Instance: self, Incarnation: 7})
//	l.Charge("x", exchanger.UnitsOf(cost, share))
//	l.Merge(now, peer, "x", units)
//	if l.Virtual("x") < l.Virtual("y") { ... }
package exchanger

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingshunt/redwingshunt"
)

// Units is an amount of virtual time: cost times Scale over share.
type Units int64

// Scale is the number of units that a cost of one takes at a share of one.
const Scale = 1 << 10

// foldAge is the silence after which the column of an origin is folded.
const foldAge = 10 * time.Minute

// maxColumns bounds the number of columns that a ledger keeps.
const maxColumns = 64

// UnitsOf returns the virtual time that a cost takes at a share. A positive
// cost takes at least one unit.
func UnitsOf(c redwingshunt.Cost, s redwingshunt.Share) Units {
	if c <= 0 {
		return 0
	}
	return max(1, Units(int64(c)*Scale/int64(max(s, 1))))
}

// Hash names an account in four bytes on the wire.
func Hash(a redwingshunt.AccountID) uint32 { return uint32(xxhash.Sum64String(string(a))) }

// Origin is an instance in one incarnation.
type Origin struct {
	Instance    redwingshunt.InstanceID
	Incarnation redwingshunt.Incarnation
}

// column holds the counters of one origin.
type column struct {
	units map[redwingshunt.AccountID]Units
	moved time.Time // when a counter last grew
}

// Ledger holds the counters of all origins of one service.
type Ledger struct {
	self    Origin
	columns map[Origin]*column
	lifts   map[redwingshunt.AccountID]Units
	virtual map[redwingshunt.AccountID]Units // sum of columns and lift
	floors  map[redwingshunt.AccountID]Units // level of the last own lift
}

// NewLedger returns an empty ledger of the given origin.
func NewLedger(self Origin) *Ledger {
	return &Ledger{
		self:    self,
		columns: map[Origin]*column{self: newColumn()},
		lifts:   map[redwingshunt.AccountID]Units{},
		virtual: map[redwingshunt.AccountID]Units{},
		floors:  map[redwingshunt.AccountID]Units{},
	}
}

func newColumn() *column { return &column{units: map[redwingshunt.AccountID]Units{}} }

// Charge adds service by this origin.
func (l *Ledger) Charge(a redwingshunt.AccountID, u Units) {
	l.columns[l.self].units[a] += u
	l.virtual[a] += u
}

// Own returns the service that this origin has counted.
func (l *Ledger) Own(a redwingshunt.AccountID) Units { return l.columns[l.self].units[a] }

// Virtual returns the virtual time of an account.
func (l *Ledger) Virtual(a redwingshunt.AccountID) Units { return l.virtual[a] }

// Floor returns the level of the last lift that this origin made, or zero.
func (l *Ledger) Floor(a redwingshunt.AccountID) Units { return l.floors[a] }

// Lift raises the virtual time of an account to a level and reports whether it
// was below.
func (l *Ledger) Lift(a redwingshunt.AccountID, level Units) bool {
	if !l.raise(a, level) {
		return false
	}
	l.floors[a] = level
	return true
}

// raise lifts without keeping the level for peers.
func (l *Ledger) raise(a redwingshunt.AccountID, level Units) bool {
	missing := level - l.virtual[a]
	if missing <= 0 {
		return false
	}
	l.lifts[a] += missing
	l.virtual[a] = level
	return true
}

// Merge takes over the counter of a peer for one account.
func (l *Ledger) Merge(now time.Time, from Origin, a redwingshunt.AccountID, u Units) {
	if from == l.self {
		return
	}
	c := l.columns[from]
	if c == nil {
		c = newColumn()
		c.moved = now
		l.columns[from] = c
		l.bound(from)
	}
	grown := u - c.units[a]
	if grown <= 0 {
		return
	}
	c.units[a] = u
	c.moved = now
	l.virtual[a] += grown
}

// Raise takes over the virtual time at a peer that lifted an account. It goes
// after the Merge of the same message; since each ledger holds a lower bound of
// all service, the larger value is right.
func (l *Ledger) Raise(a redwingshunt.AccountID, level Units) { l.raise(a, level) }

// Fold moves columns of origins that have been silent for long into the lifts.
// The virtual times stay as they are.
func (l *Ledger) Fold(now time.Time) {
	for _, o := range l.Origins() {
		if o != l.self && now.Sub(l.columns[o].moved) > foldAge && !l.latest(o) {
			l.fold(o)
		}
	}
}

// latest reports whether no later incarnation of the instance is known.
func (l *Ledger) latest(o Origin) bool {
	for other := range l.columns {
		if other.Instance == o.Instance && other.Incarnation > o.Incarnation {
			return false
		}
	}
	return true
}

// bound folds the column that moved least recently when there are too many.
func (l *Ledger) bound(keep Origin) {
	for len(l.columns) > maxColumns {
		var oldest *Origin
		for _, o := range l.Origins() {
			if o == l.self || o == keep {
				continue
			}
			if oldest == nil || l.columns[o].moved.Before(l.columns[*oldest].moved) {
				oldest = &o
			}
		}
		l.fold(*oldest)
	}
}

func (l *Ledger) fold(o Origin) {
	for a, u := range l.columns[o].units {
		l.lifts[a] += u
	}
	delete(l.columns, o)
}

// Forget drops an account that is no longer configured.
func (l *Ledger) Forget(a redwingshunt.AccountID) {
	for _, c := range l.columns {
		delete(c.units, a)
	}
	delete(l.lifts, a)
	delete(l.virtual, a)
	delete(l.floors, a)
}

// Origins returns all origins in a fixed order.
func (l *Ledger) Origins() []Origin {
	return slices.SortedFunc(maps.Keys(l.columns), func(a, b Origin) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// Column returns the counters of an origin by account.
func (l *Ledger) Column(o Origin) map[redwingshunt.AccountID]Units {
	if c := l.columns[o]; c != nil {
		return c.units
	}
	return nil
}

// Accounts returns the accounts with a virtual time, ordered.
func (l *Ledger) Accounts() []redwingshunt.AccountID {
	return slices.Sorted(maps.Keys(l.virtual))
}
