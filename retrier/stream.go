package retrier

import "errors"

// ErrGap means that a resumed stream skipped events.
var ErrGap = errors.New("the resumed stream left events out")

// Position tracks the events of a stream across its connections, so that none is
// lost or relayed twice. The upstream numbers the events from zero and continues
// the numbers in a resumed stream.
//
//	0 1 2 | resumed at 2: 2 3 4 | relayed: 0 1 2 3 4
type Position struct {
	next uint64
}

// Next returns the offset at which to resume.
func (p *Position) Next() uint64 { return p.next }

// Accept reports whether to relay the event at an offset. It returns false for an
// event that was relayed before, and ErrGap if an event is missing.
func (p *Position) Accept(offset uint64) (bool, error) {
	switch {
	case offset < p.next:
		return false, nil
	case offset > p.next:
		return false, ErrGap
	}
	p.next++
	return true, nil
}
