package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// Explanation says where a request would be placed, and why.
type Explanation struct {
	Chosen     redwingshunt.Option[redwingshunt.UpstreamID]
	Refusal    *Refusal    // nil if the request would be placed
	Candidates []Explained // those that may be chosen by their cost, then the others by name
	Admitted   float64     // tokens per second of the client account in the fleet
	Share      float64     // max-min share of an account in tokens per second; infinite if none is limited
	Ratio      float64     // admitted rate divided by the share; zero if the capacity is unlimited
	Blind      bool        // the loads of other instances are not known
}

// Explained is an upstream of the service.
type Explained struct {
	Upstream  redwingshunt.Upstream
	Wait      time.Duration // predicted, before it begins with the request
	Predicted time.Duration // until the first byte or event
	Cost      time.Duration // by which candidates are compared
	Unread    int64         // prompt tokens that it has not cached
	Home      bool          // it caches the shared part of the prompt, or is to
	Excluded  Exclusion     // why it cannot be chosen; empty if it can
	Until     time.Time     // end of the exclusion; zero if not known
}

// Exclusion is why an upstream cannot be chosen.
type Exclusion string

// The exclusions.
const (
	ExcludedTried       Exclusion = "tried"       // an earlier attempt of the request went there
	ExcludedEvacuated   Exclusion = "evacuated"   // its availability zone is
	ExcludedRegion      Exclusion = "region"      // the route or the client account does not allow it
	ExcludedVersion     Exclusion = "version"     // the stream began at another one
	ExcludedCold        Exclusion = "cold"        // and gets no more requests from this instance now
	ExcludedEjected     Exclusion = "ejected"     // its last attempts failed
	ExcludedPaused      Exclusion = "paused"      // it asked for a pause, or accepts no connection
	ExcludedUnavailable Exclusion = "unavailable" // for another reason
)

// Explain returns where Place would place a request and why. It books and counts nothing.
func (c *Core) Explain(now time.Time, p *redwingshunt.Placement) Explanation {
	_, known := c.shares.accounts[p.Account]
	defer func() {
		if !known { // reading the rates has added it
			delete(c.shares.accounts, p.Account)
		}
	}()
	s := c.services[p.Service]
	best, refusal := c.decide(now, s, p)
	e := Explanation{Refusal: refusal, Ratio: c.shares.shareRatio(now, p.Account), Share: c.shares.share, Blind: c.blind()}
	if c.shares.capacity == 0 {
		e.Share = math.Inf(1)
	}
	a := c.shares.of(p.Account)
	e.Admitted = a.admitted.get(now) + a.remoteAdmitted
	if best.upstream != nil {
		e.Chosen = redwingshunt.Some(best.upstream.ID)
	}
	if s == nil {
		return e
	}
	l := newLookup(now, s.allowedFor(p), p)
	prefill := prefillWeights(now, l)
	for _, u := range c.upstreams { // those of the service lack the evacuated ones
		if u.Service == p.Service {
			e.Candidates = append(e.Candidates, c.explain(now, l, u, prefill))
		}
	}
	slices.SortFunc(e.Candidates, func(a, b Explained) int {
		byName := cmp.Compare(a.Upstream.ID, b.Upstream.ID)
		switch {
		case (a.Excluded == "") != (b.Excluded == ""):
			if a.Excluded == "" {
				return -1
			}
			return 1
		case a.Excluded == "":
			return cmp.Or(cmp.Compare(a.Cost, b.Cost), byName)
		}
		return byName
	})
	return e
}

// explain describes one upstream. Whether it may be chosen is asked of cheapest, so that
// both follow the same rules.
func (c *Core) explain(now time.Time, l lookup, u *upstream, prefill weights) Explained {
	alone := *l.service
	alone.upstreams = []*upstream{u}
	only := l
	only.service = &alone
	o := c.cheapest(now, only, prefill)
	e := Explained{Upstream: u.Upstream, Home: u == l.home}
	if o.upstream == nil || c.evacuated.Has(u.Zone) || len(alone.allowedFor(l.placement).upstreams) == 0 {
		e.Excluded, e.Until = c.exclusionOf(now, l, u)
		o = c.predict(now, l.service, l.placement, l.tokens, u, e.Home)
	}
	e.Wait, e.Predicted, e.Cost, e.Unread = o.wait, o.wait+o.serviceTime+o.roundTrip, o.cost, o.unread
	return e
}

// exclusionOf returns why an upstream cannot be chosen, and until when.
func (c *Core) exclusionOf(now time.Time, l lookup, u *upstream) (why Exclusion, until time.Time) {
	switch {
	case l.placement.Avoid.Has(u.ID):
		return ExcludedTried, time.Time{}
	case c.evacuated.Has(u.Zone):
		return ExcludedEvacuated, time.Time{}
	case !l.placement.Regions.Has(u.Region):
		return ExcludedRegion, time.Time{}
	case l.placement.Version.Or(u.Version) != u.Version:
		return ExcludedVersion, time.Time{}
	case u.pausedUntil.After(now) && u.pausedUntil.After(u.ejectedUntil):
		return ExcludedPaused, u.pausedUntil
	case u.ejectedUntil.After(now):
		return ExcludedEjected, u.ejectedUntil
	case l.service.isCold(now, u):
		if next, admits := c.options.Admitter.Next(now, u.Key(), l.service.ramp); admits {
			return ExcludedCold, next
		}
		return ExcludedCold, time.Time{}
	}
	return ExcludedUnavailable, time.Time{}
}
