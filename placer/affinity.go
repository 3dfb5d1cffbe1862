package placer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingshunt/redwingshunt"
)

// Prefill time is weighted above its duration because it also delays all requests
// queued behind it. The weight is minPrefillWeight while engines are idle and
// grows with the mean wait over all of them, up to maxPrefillWeight at a mean wait
// of one latency objective. A request therefore leaves its home for an idle
// engine, but not when that only moves the wait and adds prefill work.
const (
	minPrefillWeight = 1.5
	maxPrefillWeight = 9
	// secondPrefillRatio is the fraction of the weight that applies at the second
	// home. It directs requests that leave their home to the same upstream, so
	// that the shared part is soon cached on both.
	secondPrefillRatio = 0.4
	// For a service of uneven upstreams, the loads that routers know are wrong by about a
	// request an engine. A request that leaves its home for a difference of that size costs
	// a prefill of the shared parts, which makes more of them leave theirs. The weight there
	// grows by unevenWeight times itself, and each rank in the order of homes costs
	// rankPenalty of the prefill time of the shared parts, which directs those that have to
	// leave to the same few upstreams. Both are less where that time is below dearPrefill of
	// the latency objective, and grow by loadedFactor until the mean wait is loadedWait of it.
	unevenWeight = 2
	rankPenalty  = 0.5
	dearPrefill  = 0.2
	loadedFactor = 2
	loadedWait   = 1.0 / 3
)

// preference is what is added to the cost of a candidate. It is a value and not a function,
// which would be allocated for each request.
type preference struct {
	weight    float64   // of prefill time
	second    *upstream // the second home of the request; may be nil
	key       string    // of the order of homes
	upstreams float64   // number of them
	perRank   float64   // prompt tokens whose prefill time each rank costs; zero if ranks cost nothing
}

// cost returns the weighted prefill time of a candidate and the cost of its rank.
func (p preference) cost(o candidate) time.Duration {
	weight := p.weight
	if o.upstream == p.second {
		weight *= secondPrefillRatio
	}
	cost := weight * float64(o.serviceTime)
	if p.perRank > 0 {
		// The expected number of upstreams with a higher hash.
		rank := p.upstreams * (1 - float64(rendezvousHash(p.key, o.upstream.ID))/math.MaxUint64)
		cost += rank * p.perRank / o.rate * float64(time.Second)
	}
	return time.Duration(cost)
}

// preferHomes returns the preference for the homes of a request.
func preferHomes(now time.Time, l lookup) preference {
	s, p := l.service, l.placement
	if !s.isEngine || len(s.upstreams) == 0 {
		return preference{weight: 1, second: l.second}
	}
	objective := objectiveOf(p.Route).Seconds()
	wait := s.meanWait(now) / objective
	prefer := preference{
		weight: min(minPrefillWeight+(maxPrefillWeight-minPrefillWeight)*wait, maxPrefillWeight),
		second: l.second, key: affinityKey(p.Prompt), upstreams: float64(len(s.upstreams)),
	}
	if !s.uneven || prefer.key == "" {
		return prefer
	}
	shared := float64(l.tokens - p.Prompt[len(p.Prompt)-1].Tokens)
	dear := min(shared/defaultTokensPerSecond/objective/dearPrefill, 1) * (1 + loadedFactor*min(wait/loadedWait, 1))
	prefer.weight *= 1 + unevenWeight*dear
	prefer.perRank = rankPenalty * dear * shared
	return prefer
}

// meanWait returns the mean time in seconds that the engines of a service need for the
// prompt tokens that wait for prefill.
func (s *service) meanWait(now time.Time) float64 {
	total := 0.0
	for _, u := range s.upstreams {
		rate := u.tokensPerSecond(now)
		total += float64(u.unread(now, rate)) / rate
	}
	return total / float64(len(s.upstreams))
}

// homes returns the two upstreams with the highest rendezvous weights for the
// affinity key of a request, or nil when it has none. An upstream that is
// unavailable for at most baseEjection stays a home: otherwise its prompt parts
// would be prefilled on another upstream first, and on this one after its return. A cold
// upstream is no home: it could not take the requests.
func homes(now time.Time, s *service, p *redwingshunt.Placement) (home, second *upstream) {
	key := affinityKey(p.Prompt)
	if key == "" {
		return nil, nil
	}
	var highest, next uint64
	limited := s.ramp > 0
	for _, u := range s.upstreams {
		if u.unavailableUntil().Sub(now) > baseEjection || limited && s.isCold(now, u) {
			continue
		}
		switch weight := rendezvousHash(key, u.ID); {
		case home == nil || weight > highest:
			home, highest, second, next = u, weight, home, highest
		case second == nil || weight > next:
			second, next = u, weight
		}
	}
	return home, second
}

// affinityKey returns the ID of the last prompt part that is shared with other
// requests, or of the only part. Requests with the same key have the same home.
func affinityKey(prompt []redwingshunt.Part) string {
	switch len(prompt) {
	case 0:
		return ""
	case 1:
		return prompt[0].ID
	}
	return prompt[len(prompt)-2].ID
}

// rendezvousHash returns the rendezvousHash hash of an upstream for a key.
func rendezvousHash(key string, id redwingshunt.UpstreamID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key) // never fails
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}
