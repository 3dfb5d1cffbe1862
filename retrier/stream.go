package retrier

import "errors"

// ErrGap means that a resumed stream left something out.
var ErrGap = errors.New("the resumed stream left events out")

// Position follows the events of a stream over its connections, so that none
// is lost and none passed on twice. Events are numbered from zero by the
// upstream, and the number goes on over a resumption.
//
//	0 1 2 | resumed at 2: 2 3 4 | passed on: 0 1 2 3 4
type Position struct {
	next uint64
}

// Next returns the offset from which a resumption is asked for.
func (p *Position) Next() uint64 { return p.next }

// Accept reports whether the event at an offset is passed on. It is not when
// it was before, and the stream fails with ErrGap when one is missing.
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
