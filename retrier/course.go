package retrier

import "time"

const (
	// maxTries bounds the upstreams that one request of a route is tried at,
	// those included that could not be reached.
	maxTries = 4
	// leastLeft is the time below which an attempt is not worth making.
	leastLeft = 20 * time.Millisecond
)

// Course is how a request of a route has gone so far. It answers the load of
// upstreams that fail or refuse, each of which would otherwise be multiplied.
type Course struct {
	Idempotent bool          // it may run more than once
	Resumable  bool          // its stream may go on at another upstream
	Ran        bool          // an attempt may have begun
	Started    bool          // the caller has a part of the answer
	Tries      int           // upstreams chosen
	Sent       int           // failed attempts of which a byte was sent
	Attempts   int           // upstreams that it may be sent to
	Left       time.Duration // until its deadline
}

// Obstacle returns why the request must not be sent to another upstream, or
// nothing. A budget for repeats is asked after that, if anything was sent.
func (c Course) Obstacle() string {
	switch {
	case c.Ran && !c.Idempotent:
		return "it may have run and is not idempotent"
	case c.Started && !c.Resumable:
		return "a part of the answer is with the caller"
	case c.Tries >= maxTries:
		return "too many upstreams were tried"
	case c.Sent >= max(c.Attempts, 1):
		return "the route allows no further attempt"
	case c.Left < leastLeft:
		return "no time is left"
	}
	return ""
}
