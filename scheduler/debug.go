package scheduler

import (
	"fmt"

	"github.com/redwingshunt/redwingshunt"
)

// Debug x.
func (o *Owner) Debug() string {
	s := fmt.Sprintf("free %d ", o.pool.Free())
	l, ok := o.level(o.now)
	if ok {
		s += fmt.Sprintf("L %.2f", float64(l)/float64(o.units(1e9)))
	}
	for _, p := range o.order {
		if !p.Standby {
			lent, held, bor, own := 0, 0, 0, 0
			for _, n := range p.lent {
				lent += n
			}
			for _, n := range p.held {
				held += n
			}
			for _, v := range o.pool.Views() {
				if v.Key.Lender == p.ID {
					bor += v.Window
					own += v.Own
				}
			}
			s += fmt.Sprintf("{%s ask %d/%d lent %d held %d borrowed %d used %d} ", p.ID, p.ask, p.asked, lent, held, bor, own)
		}
	}
	return s
}

// DebugA x.
func (o *Owner) DebugA(id redwingshunt.AccountID) string {
	a := o.account(id)
	u := float64(o.units(1e9))
	return fmt.Sprintf("[V %.2f k %.2f r %d w %d i %v %v]", float64(o.ledger.Virtual(id))/u, float64(a.key)/u, len(a.runs), a.waiting, a.interval, a.first) + fmt.Sprint(" e ", a.enough, " ", a.remote)
}
