package scheduler

import "fmt"

// Debug x.
func (o *Owner) Debug() string {
	s := fmt.Sprintf("rate %.1f units %d ready %d free %d ", o.rate, o.units(1e9), len(o.ready), o.pool.Free())
	for _, p := range o.order {
		s += fmt.Sprintf("{%s back %v level %.2f free %d slots %d ask %d asked %d lent %v held %v} ", p.ID, p.backlogged, float64(p.level)/float64(o.units(1e9)), p.free, p.slots, p.ask, p.asked, p.lent, p.held)
	}
	for _, v := range o.pool.Views() {
		s += fmt.Sprintf("[%s %s w %d own %d lent %d foreign %d room %d] ", v.Key.Lender, v.Key.ID, v.Window, v.Own, v.Lent, v.Foreign, v.Room)
	}
	return s
}
