package retrier

import "time"

const (
	// maxTries bounds the upstreams tried for one request of a route, including those
	// that could not be reached.
	maxTries = 4
	// minTimeLeft is the remaining time below which no further attempt is made.
	minTimeLeft = 20 * time.Millisecond
)

// Progress is the progress of a request of a route. It bounds the attempts of each
// request, since retries multiply the load on upstreams that fail or refuse.
type Progress struct {
	Idempotent bool          // the request may run more than once
	Resumable  bool          // the stream may continue at another upstream
	MayHaveRun bool          // an attempt may have begun
	Started    bool          // the caller has part of the response
	Tries      int           // upstreams chosen
	Sent       int           // failed attempts of which a byte was sent
	Attempts   int           // upstreams to which the request may be sent
	Remaining  time.Duration // time until the deadline
}

// Obstacle returns why the request must not be sent to another upstream, or an
// empty string. If that is empty and a byte was sent before, the retry budget
// decides.
func (c Progress) Obstacle() string {
	switch {
	case c.MayHaveRun && !c.Idempotent:
		return "it may have run and is not idempotent"
	case c.Started && !c.Resumable:
		return "a part of the answer is with the caller"
	case c.Tries >= maxTries:
		return "too many upstreams were tried"
	case c.Sent >= max(c.Attempts, 1):
		return "the route allows no further attempt"
	case c.Remaining < minTimeLeft:
		return "no time is left"
	}
	return ""
}
