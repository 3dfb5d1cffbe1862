// Package exchanger counts the service that client accounts have received and
// merges the counters of all owners of one service in the fleet.
//
// Service is counted in units of virtual time: cost divided by share. Each origin
// (an instance in one incarnation) has a column of counters that never decrease and
// that no other origin changes. A merge takes the larger value, so it is idempotent
// and commutative (a grow-only counter, G-counter). The virtual time of an account
// is the sum of its columns and a lift, which moves an account that returns from
// idle up to the others.
//
// Example: owner A has counted 300 units for account x and owner B 200. A merges
// B's counters once or twice, in any order, and has a virtual time of 500 for x.
// When B restarts, its new incarnation counts from zero in a new column. The old
// column stays until Fold moves it into the lift.
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

// Scale is the number of units for a cost of one at a share of one.
const Scale = 1 << 10

// foldAge is the time without a change after which the column of an origin is
// folded.
const foldAge = 10 * time.Minute

// maxColumns bounds the number of columns that a ledger keeps.
const maxColumns = 64

// UnitsOf returns the virtual time of a cost at a share. It is at least one unit for
// a positive cost.
func UnitsOf(c redwingshunt.Cost, s redwingshunt.Share) Units {
	if c <= 0 {
		return 0
	}
	return max(1, Units(int64(c)*Scale/int64(max(s, 1))))
}

// Hash returns the four bytes that identify an account on the wire.
func Hash(a redwingshunt.AccountID) uint32 { return uint32(xxhash.Sum64String(string(a))) }

// Origin is an instance in one incarnation.
type Origin struct {
	Instance    redwingshunt.InstanceID
	Incarnation redwingshunt.Incarnation
}

// column holds the counters of one origin.
type column struct {
	units     map[redwingshunt.AccountID]Units
	changedAt time.Time // when a counter last grew
}

// Ledger holds the counters of all origins of one service.
type Ledger struct {
	self    Origin
	columns map[Origin]*column
	lifts   map[redwingshunt.AccountID]Units
	virtual map[redwingshunt.AccountID]Units // sum of columns and lift
	floors  map[redwingshunt.AccountID]Units // level of the last lift by this origin
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

// Charge adds service to the counter of this origin.
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

// Lift raises the virtual time of an account to a level and reports whether it was
// lower. Floor returns the level, so that peers can be told.
func (l *Ledger) Lift(a redwingshunt.AccountID, level Units) bool {
	if !l.raise(a, level) {
		return false
	}
	l.floors[a] = level
	return true
}

// raise is Lift without a change of the floor.
func (l *Ledger) raise(a redwingshunt.AccountID, level Units) bool {
	missing := level - l.virtual[a]
	if missing <= 0 {
		return false
	}
	l.lifts[a] += missing
	l.virtual[a] = level
	return true
}

// Merge merges the counter of a peer for one account. Counters of this origin are
// ignored.
func (l *Ledger) Merge(now time.Time, from Origin, a redwingshunt.AccountID, u Units) {
	if from == l.self {
		return
	}
	c := l.columns[from]
	if c == nil {
		c = newColumn()
		c.changedAt = now
		l.columns[from] = c
		l.limitColumns(from)
	}
	grown := u - c.units[a]
	if grown <= 0 {
		return
	}
	c.units[a] = u
	c.changedAt = now
	l.virtual[a] += grown
}

// Raise merges the virtual time of an account at a peer that lifted it. Call it after
// Merge of the same message. Each ledger holds a lower bound of all service, so the
// larger value is correct.
func (l *Ledger) Raise(a redwingshunt.AccountID, level Units) { l.raise(a, level) }

// Fold moves the columns of earlier incarnations that have not changed for ten
// minutes into the lifts. Virtual times do not change.
func (l *Ledger) Fold(now time.Time) {
	for _, o := range l.Origins() {
		if o != l.self && now.Sub(l.columns[o].changedAt) > foldAge && !l.latest(o) {
			l.fold(o)
		}
	}
}

// latest reports whether o is the latest known incarnation of its instance.
func (l *Ledger) latest(o Origin) bool {
	for other := range l.columns {
		if other.Instance == o.Instance && other.Incarnation > o.Incarnation {
			return false
		}
	}
	return true
}

// limitColumns folds the columns that changed least recently while there are more
// than maxColumns. It never folds the column of keep or of this origin.
func (l *Ledger) limitColumns(keep Origin) {
	for len(l.columns) > maxColumns {
		var oldest *Origin
		for _, o := range l.Origins() {
			if o == l.self || o == keep {
				continue
			}
			if oldest == nil || l.columns[o].changedAt.Before(l.columns[*oldest].changedAt) {
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

// Forget removes an account that is no longer configured.
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
