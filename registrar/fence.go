package registrar

import (
	"fmt"
	"time"

	"github.com/redwingshunt/redwingshunt/wire"
)

// fence grants, renews or refuses the lease of a name. Each new holder gets the
// next fencing number of that name; a renewal keeps the number. Lease expiry uses
// the clocks of the proposers, which may disagree: the fencing number ensures
// safety, and the lease only prevents holders from displacing each other
// repeatedly.
func (r *Registrar) fence(c *wire.FenceCommand, at time.Time) *wire.RegistrarReply {
	if c.GetName() == "" || c.GetHolder() == "" || len(c.GetName()) > MaxIDBytes || len(c.GetHolder()) > MaxIDBytes {
		return &wire.RegistrarReply{Error: fmt.Sprintf("name and holder must have 1 to %d bytes", MaxIDBytes)}
	}
	record := r.fences[c.GetName()]
	if record == nil && len(r.fences) >= MaxFences {
		return &wire.RegistrarReply{Error: fmt.Sprintf("there are %d fencing numbers already", MaxFences)}
	}
	if record == nil {
		record = &wire.FenceRecord{Name: c.GetName()}
		r.fences[c.GetName()] = record
	}
	if record.GetHolder() != c.GetHolder() {
		if remaining := time.Unix(0, record.GetUntil()).Sub(at); remaining > 0 && record.GetNumber() > 0 {
			return &wire.RegistrarReply{Fence: &wire.FenceReply{
				Number: record.GetNumber(), Holder: record.GetHolder(), Remaining: int64(remaining),
			}}
		}
		record.Number++
		record.Holder = c.GetHolder()
	}
	record.Until = at.Add(time.Duration(c.GetLease())).UnixNano()
	return &wire.RegistrarReply{Fence: &wire.FenceReply{
		Granted: true, Number: record.GetNumber(), Holder: record.GetHolder(), Remaining: c.GetLease(),
	}}
}
