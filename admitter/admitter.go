// Package admitter decides whether an instance may send a request to a cold upstream, so
// that all instances together send it no more than it tolerates, without a message per
// request.
//
// Each cold upstream has a few admitting instances, chosen by rendezvous hashing among
// the instances that serve routes. Each of them sends at most one request in a fixed
// interval. There are as many admitting instances as the upstream tolerates requests in
// a second, and the interval is a second and MaxDelay at least, so their sum in any one
// second is at most their number. The number is also limited to half of the bound, so
// that two entirely different sets of admitting instances still keep the bound.
//
// Instances learn at different times that another one has gone or has come. An instance
// that has gone therefore keeps its place among the admitting ones for a while, in which
// all others notice its loss, and in which the instance itself, if it still runs, notices
// that it has lost contact with a quorum of the voters and admits nothing more. An
// instance that starts, or regains contact, waits until all others know it.
//
// # Usage
//
// Core reads no clock and sends nothing:
//
//	core := admitter.New(admitter.Options{Self: self, Bounds: bounds})
//	core.Observe(now, admitter.Fleet{Routers: live, Contact: age}) // several times a second
//	if at, ok := core.Next(now, key, rate); ok && !at.After(now) {
//		token := core.Take(now, key, rate)
//		// send a request, or, if no byte of it was sent:
//		core.Return(token)
//	}
package admitter

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingshunt/redwingshunt"
)

// MaxDelay is how long after its token was taken a request may be sent. Opening a
// connection to another region takes less. Requests that are sent later than others come
// closer to later ones, so the interval between two tokens is longer by that time.
const MaxDelay = 150 * time.Millisecond

const (
	// hold is how long an instance that has gone keeps its place. It is longer than
	// maxContactAge, after which an isolated instance admits nothing more, and than the
	// time in which membership tells all instances of a loss.
	hold = 8 * time.Second
	// maxContactAge is the time without news of a quorum of the voters after which an
	// instance is not in contact with it. In contact, news were at most 5 s old in a
	// simulation of package publisher with up to 360 instances and 5% of loss.
	maxContactAge = 7 * time.Second
	// settleTime is how long an instance has to be in contact before it admits requests.
	// Within it, membership tells all regions of the instance.
	settleTime = 6 * time.Second
	// maxObserveGap is the time between two calls of Observe after which the instance is
	// considered suspended in between, and its knowledge of the fleet outdated.
	maxObserveGap = 2 * time.Second
	// retention is how long the share in an upstream that is not cold is kept at least.
	retention = time.Minute
)

// Options configure a Core.
type Options struct {
	Self   redwingshunt.InstanceID
	Bounds redwingshunt.ColdBounds
}

// Fleet is what an instance knows about the fleet.
type Fleet struct {
	Routers []redwingshunt.InstanceID // live instances that serve routes and are not leaving
	Contact time.Duration             // since a quorum of the voters was last heard of; huge if unknown
}

// Core is the state of one instance. It is used by one goroutine at a time.
type Core struct {
	options    Options
	observed   time.Time // last call of Observe
	heard      time.Time // when a quorum of the voters was last heard of
	contact    time.Time // since when the instance has been in contact; zero if it is not
	routing    bool      // the instance itself serves routes and is not leaving
	lastLive   map[redwingshunt.InstanceID]time.Time
	routers    []redwingshunt.InstanceID // keys of lastLive, sorted
	generation uint64                    // number of changes of routers
	shares     map[redwingshunt.UpstreamKey]*share
}

// share is the part of this instance in what one cold upstream tolerates.
type share struct {
	rate       float64 // that it was computed for
	generation uint64
	interval   time.Duration // between two requests; zero if the instance admits none
	last       time.Time     // when the last token was taken
	used       time.Time     // last call of shareOf
}

// Token is the permission to send one request to a cold upstream. The zero value is no
// permission.
type Token struct {
	key    redwingshunt.UpstreamKey
	taken  time.Time
	before time.Time // when the one before was taken
}

// IsZero reports whether the token is no permission.
func (t Token) IsZero() bool { return t.taken.IsZero() }

// New returns a core that does not know the fleet yet.
func New(options Options) *Core {
	return &Core{
		options:  options,
		lastLive: make(map[redwingshunt.InstanceID]time.Time),
		shares:   make(map[redwingshunt.UpstreamKey]*share),
	}
}

// Observe takes what the instance knows about the fleet now.
func (c *Core) Observe(now time.Time, fleet Fleet) {
	suspended := !c.observed.IsZero() && redwingshunt.Elapsed(c.observed, now) > maxObserveGap
	c.observed = now
	if heard := now.Add(-fleet.Contact); heard.After(c.heard) {
		c.heard = heard
	}
	switch {
	case redwingshunt.Elapsed(c.heard, now) > maxContactAge:
		c.contact = time.Time{}
	case suspended || c.contact.IsZero():
		c.contact = now
	}
	known := len(c.lastLive)
	for _, id := range fleet.Routers {
		c.lastLive[id] = now
	}
	changed := len(c.lastLive) > known
	c.routing = slices.Contains(fleet.Routers, c.options.Self)
	for id, at := range c.lastLive {
		if now.Sub(at) > hold {
			delete(c.lastLive, id)
			changed = true
		}
	}
	if changed {
		c.routers = slices.Sorted(maps.Keys(c.lastLive))
		c.generation++
	}
	for key, s := range c.shares {
		if now.Sub(s.used) > max(retention, 2*s.interval) {
			delete(c.shares, key)
		}
	}
}

// InContact reports whether the instance has news of a quorum of the voters. Without them
// it does not hear that an upstream has turned cold either.
func (c *Core) InContact() bool { return !c.contact.IsZero() }

// Settled reports whether the instance knows the fleet well enough to admit requests to
// cold upstreams.
func (c *Core) Settled(now time.Time) bool {
	return c.routing && !c.contact.IsZero() && now.Sub(c.contact) >= settleTime &&
		redwingshunt.Elapsed(c.observed, now) <= maxObserveGap
}

// Next returns the time from which this instance may send the next request to a cold
// upstream that tolerates a rate, and false if it may send none.
func (c *Core) Next(now time.Time, key redwingshunt.UpstreamKey, rate float64) (time.Time, bool) {
	if !c.Settled(now) {
		return time.Time{}, false
	}
	s := c.shareOf(now, key, rate)
	return s.last.Add(s.interval), s.interval > 0
}

// Take takes a token, for which the time that Next returned must have come.
func (c *Core) Take(now time.Time, key redwingshunt.UpstreamKey, rate float64) Token {
	s := c.shareOf(now, key, rate)
	t := Token{key: key, taken: now, before: s.last}
	s.last = now
	return t
}

// Return gives back a token of a request of which no byte was sent, unless another one
// has been taken since.
func (c *Core) Return(t Token) {
	if s := c.shares[t.key]; s != nil && s.last.Equal(t.taken) {
		s.last = t.before
	}
}

// shareOf returns the share of this instance in an upstream. It is computed when the
// fleet or the rate changes, and not for each request.
func (c *Core) shareOf(now time.Time, key redwingshunt.UpstreamKey, rate float64) *share {
	s := c.shares[key]
	if s == nil {
		s = &share{}
		c.shares[key] = s
	}
	s.used = now
	if s.generation == c.generation && s.rate == rate {
		return s
	}
	admitted := s.interval > 0
	s.rate, s.generation, s.interval = rate, c.generation, 0
	admitters, interval := c.divide(rate)
	rank := c.rank(key)
	if rank >= admitters {
		return s
	}
	s.interval = interval
	if !admitted {
		// The first token comes after a part of the interval that grows with the rank,
		// so that the admitting instances do not send their first requests together.
		wait := interval * time.Duration(rank+1) / time.Duration(admitters)
		if first := now.Add(wait - interval); first.After(s.last) {
			s.last = first
		}
	}
	return s
}

// divide returns the number of instances that admit requests to an upstream that
// tolerates a rate, and the interval between two requests of each.
func (c *Core) divide(rate float64) (admitters int, interval time.Duration) {
	if rate <= 0 || len(c.routers) == 0 {
		return 0, 0
	}
	perSecond := max(min(math.Ceil(rate), math.Floor(c.options.Bounds.PerSecond(rate)/2)), 1)
	admitters = int(min(perSecond, float64(len(c.routers))))
	// An instance whose requests are 1/n of a second and MaxDelay apart or more sends at
	// most n in any one second.
	least := (time.Second + MaxDelay).Seconds() / math.Floor(perSecond/float64(admitters))
	seconds := max(float64(admitters)/min(rate, perSecond), least)
	return admitters, time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// rank returns the number of instances with a higher rendezvous hash for an upstream than
// this one.
func (c *Core) rank(key redwingshunt.UpstreamKey) int {
	own := rendezvousHash(key, c.options.Self)
	rank := 0
	for _, id := range c.routers {
		if hash := rendezvousHash(key, id); hash > own || hash == own && id < c.options.Self {
			rank++
		}
	}
	return rank
}

// rendezvousHash returns the rendezvous hash of an instance for an upstream.
func rendezvousHash(key redwingshunt.UpstreamKey, id redwingshunt.InstanceID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, text := range []string{string(key.Service), string(key.ID), string(id)} {
		_, _ = digest.WriteString(text) // never fails
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
