package attributor

// How losses are attributed to parts.

import (
	"maps"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// crashWindow is the time within which losses of an upstream are one crash.
	crashWindow = 2 * time.Second
	// settleTime is how long the losses of a crash are awaited from all instances
	// before it counts.
	settleTime = 300 * time.Millisecond
	// confirmTime is how long a part is suspected before it is refused, so that each
	// instance can report answered requests with it.
	confirmTime = 400 * time.Millisecond
	// answeredConfirmTime is that time for a part that was in answered requests
	// before. It is longer than most requests take, since upstreams that die together
	// may have run requests with any popular part.
	answeredConfirmTime = 2 * time.Second

	// The evidence that refuses a part: the weight of its losses, one in each crash, and
	// the number of different requests among them.
	minWeight   = 6
	minCrashes  = 3
	minRequests = 3
	// minSuspectCrashes is the number of crashes from which a part is suspected.
	minSuspectCrashes = 2
	// The evidence if the part is refused for another client account.
	minWeightAgain = 2

	// headerWeight is the weight of a loss after the header, or of the only loss of a
	// crash. An upstream dies as it begins to write, so others count less.
	headerWeight = 2

	// maxCrashes, maxLossesPerCrash and maxKeys bound the evidence.
	maxCrashes        = 64
	maxLossesPerCrash = 64
	maxKeys           = 4096
	// maxCountedRequests bounds the different requests that are counted against a part.
	maxCountedRequests = 16
	// maxSuspected bounds the parts that are suspected at a time.
	maxSuspected = 16
)

// Collector attributes the losses of all instances. It is used by one goroutine at a
// time.
type Collector struct {
	crashes   []*crash // oldest first
	keys      int      // in all crashes
	answered  map[Key]time.Time
	verdicts  map[Key]Verdict
	suspected map[Key]time.Time // when the part was suspected first
}

// crash is the loss of one upstream, as reported by all instances.
type crash struct {
	upstream redwingshunt.UpstreamKey
	at       time.Time // of the first loss
	losses   []loss
}

type loss struct {
	request  redwingshunt.Fingerprint
	keys     []Key // in the order of the prompt
	progress redwingshunt.LossProgress
}

// NewCollector returns a Collector without evidence.
func NewCollector() *Collector {
	return &Collector{
		answered: make(map[Key]time.Time), verdicts: make(map[Key]Verdict), suspected: make(map[Key]time.Time),
	}
}

// Lost records a loss. One that is reported twice counts once.
func (c *Collector) Lost(now time.Time, l Loss) {
	if now.Sub(l.At) >= lossRetention {
		return
	}
	for _, a := range l.Answered {
		c.Answered(a)
	}
	added := loss{request: l.Request, keys: keysOf(l.Prompt), progress: l.Progress}
	k := c.crashOf(l.Upstream, l.At)
	duplicate := slices.ContainsFunc(k.losses, func(known loss) bool { return known.request == l.Request })
	if len(added.keys) == 0 || duplicate {
		return
	}
	if len(k.losses) >= maxLossesPerCrash {
		i := slices.IndexFunc(k.losses, func(known loss) bool { return known.progress < added.progress })
		if i < 0 {
			return
		}
		c.keys -= len(k.losses[i].keys)
		k.losses = slices.Delete(k.losses, i, i+1)
	}
	k.losses = append(k.losses, added)
	c.keys += len(added.keys)
	for c.keys > maxKeys && len(c.crashes) > 1 {
		c.dropOldest()
	}
}

// crashOf returns the crash of an upstream at a time.
func (c *Collector) crashOf(upstream redwingshunt.UpstreamKey, at time.Time) *crash {
	for _, k := range c.crashes {
		if k.upstream == upstream && at.Sub(k.at).Abs() < crashWindow {
			return k
		}
	}
	if len(c.crashes) >= maxCrashes {
		c.dropOldest()
	}
	k := &crash{upstream: upstream, at: at}
	c.crashes = append(c.crashes, k)
	return k
}

func (c *Collector) dropOldest() {
	for _, l := range c.crashes[0].losses {
		c.keys -= len(l.keys)
	}
	c.crashes = slices.Delete(c.crashes, 0, 1)
}

// Answered records that a request with a part was answered.
func (c *Collector) Answered(a Answered) {
	if !a.At.After(c.answered[a.Key]) {
		return
	}
	if _, ok := c.answered[a.Key]; !ok && len(c.answered) >= maxAnswered {
		for oldest := range c.answered { // any one: it only matters for parts of recent losses
			delete(c.answered, oldest)
			break
		}
	}
	c.answered[a.Key] = a.At
}

// Adopt applies the verdict of another collector.
func (c *Collector) Adopt(now time.Time, v Verdict) {
	switch v.State {
	case Cleared:
		c.Answered(Answered{Key: v.Key, At: now})
		delete(c.verdicts, v.Key)
		delete(c.suspected, v.Key)
	case Refused:
		c.setVerdict(v)
		delete(c.suspected, v.Key)
	}
}

// Next returns when Judge must be called next although nothing has been reported, and
// false if there is no need.
func (c *Collector) Next(now time.Time) (next time.Time, needed bool) {
	consider := func(at time.Time) {
		if at.After(now) && (!needed || at.Before(next)) {
			next, needed = at, true
		}
	}
	for _, k := range c.crashes {
		consider(k.at.Add(settleTime))
	}
	for _, since := range c.suspected {
		consider(since.Add(confirmTime))
		consider(since.Add(answeredConfirmTime))
	}
	return next, needed
}

// evidence is what speaks against a part.
type evidence struct {
	key             Key
	weight, crashes int
	position        int // in the prompt
	requests        []redwingshunt.Fingerprint
	first, last     time.Time
}

// addRequest counts a request once.
func (e *evidence) addRequest(f redwingshunt.Fingerprint) {
	if len(e.requests) < maxCountedRequests && !slices.Contains(e.requests, f) {
		e.requests = append(e.requests, f)
	}
}

// Judge returns the verdicts that have changed.
func (c *Collector) Judge(now time.Time) []Verdict {
	for len(c.crashes) > 0 && now.Sub(c.crashes[0].at) >= lossRetention {
		c.dropOldest()
	}
	changed := c.clear(now)
	for {
		all := c.weigh(now)
		best := c.strongest(now, all)
		if best == nil || len(changed) >= maxVerdicts {
			return append(changed, c.suspect(now, all)...)
		}
		v := Verdict{
			Key: best.key, State: Refused, Since: best.first, Expires: now.Add(refusalPeriod),
			Upstreams: best.crashes, Requests: len(best.requests),
		}
		c.setVerdict(v)
		delete(c.suspected, v.Key)
		changed = append(changed, v)
	}
}

// clear ends the verdicts and suspicions that answered requests contradict.
func (c *Collector) clear(now time.Time) []Verdict {
	var cleared []Verdict
	for _, key := range slices.SortedFunc(maps.Keys(c.verdicts), Key.compare) {
		v := c.verdicts[key]
		contradicted := c.answered[key].After(v.Since)
		if contradicted && v.Expires.After(now) {
			cleared = append(cleared, Verdict{Key: key, State: Cleared, Since: v.Since})
		}
		if contradicted || now.Sub(v.Expires) >= lossRetention {
			delete(c.verdicts, key)
		}
	}
	return cleared
}

// weigh returns the evidence against each part in the losses that no verdict
// explains.
func (c *Collector) weigh(now time.Time) map[Key]*evidence {
	all := make(map[Key]*evidence)
	for _, k := range c.crashes {
		if now.Sub(k.at) < settleTime || c.explained(k) {
			continue
		}
		inCrash := make(map[Key]int) // the largest weight of the losses of this crash
		for _, l := range k.losses {
			weight := 1
			if l.progress == redwingshunt.LostAfterHeader || len(k.losses) == 1 {
				weight = headerWeight
			}
			for position, key := range l.keys {
				if !k.at.After(c.answered[key]) || c.refusedAt(key, k.at) {
					continue
				}
				e := all[key]
				if e == nil {
					e = &evidence{key: key, first: k.at}
					all[key] = e
				}
				e.addRequest(l.request)
				e.position = max(e.position, position)
				inCrash[key] = max(inCrash[key], weight)
			}
		}
		for key, weight := range inCrash {
			e := all[key]
			e.weight += weight
			e.crashes++
			e.last = k.at
		}
	}
	return all
}

// explained reports whether a part that is or was refused at the time of a crash
// was in one of the requests that are the most likely cause.
func (c *Collector) explained(k *crash) bool {
	furthest := redwingshunt.LostBeforeHeader
	for _, l := range k.losses {
		furthest = max(furthest, l.progress)
	}
	for _, l := range k.losses {
		if furthest == redwingshunt.LostAfterHeader && l.progress != furthest {
			continue
		}
		for _, key := range l.keys {
			if c.refusedAt(key, k.at) {
				return true
			}
		}
	}
	return false
}

// strongest returns the strongest evidence that suffices to refuse a part, or nil.
// Of equal evidence that against the part further back in the prompt is returned,
// since fewer requests have it.
func (c *Collector) strongest(now time.Time, all map[Key]*evidence) *evidence {
	var best *evidence
	for _, e := range all {
		if !c.suffices(now, e) {
			continue
		}
		if best == nil || e.weight > best.weight || e.weight == best.weight && (e.position > best.position ||
			e.position == best.position && e.key.compare(best.key) < 0) {
			best = e
		}
	}
	return best
}

func (c *Collector) suffices(now time.Time, e *evidence) bool {
	if c.refusedBefore(e.key) || c.refusedElsewhere(now, e.key) {
		return e.weight >= minWeightAgain
	}
	if e.weight < minWeight || e.crashes < minCrashes || len(e.requests) < minRequests {
		return false
	}
	confirm := confirmTime
	if !c.answered[e.key].IsZero() {
		confirm = answeredConfirmTime
	}
	since, suspected := c.suspected[e.key]
	return suspected && now.Sub(since) >= confirm
}

// refusedAt reports whether a part is refused, and was or would have been at a time.
func (c *Collector) refusedAt(key Key, at time.Time) bool {
	v, ok := c.verdicts[key]
	return ok && at.Before(v.Expires)
}

// refusedBefore reports whether a part had been refused until its verdict expired.
func (c *Collector) refusedBefore(key Key) bool {
	_, ok := c.verdicts[key]
	return ok
}

// refusedElsewhere reports whether a part is refused for another client account.
func (c *Collector) refusedElsewhere(now time.Time, key Key) bool {
	for other, v := range c.verdicts {
		if other.Service == key.Service && other.Part == key.Part && other.Account != key.Account && v.Expires.After(now) {
			return true
		}
	}
	return false
}

// suspect returns the verdicts on parts that are to be suspected or not any more.
func (c *Collector) suspect(now time.Time, all map[Key]*evidence) []Verdict {
	var changed []Verdict
	for _, key := range slices.SortedFunc(maps.Keys(c.suspected), Key.compare) {
		if e := all[key]; e == nil || e.crashes < minSuspectCrashes {
			delete(c.suspected, key)
			changed = append(changed, Verdict{Key: key, State: Cleared})
		} else if now.Sub(e.last) >= suspicionRetention {
			delete(c.suspected, key) // the guards have dropped it, too
		}
	}
	candidates := slices.SortedFunc(maps.Values(all), func(a, b *evidence) int {
		if a.weight != b.weight {
			return b.weight - a.weight
		}
		return a.key.compare(b.key)
	})
	for _, e := range candidates {
		if len(c.suspected) >= maxSuspected {
			break
		}
		if _, ok := c.suspected[e.key]; ok || e.crashes < minSuspectCrashes || now.Sub(e.last) >= suspicionRetention {
			continue
		}
		c.suspected[e.key] = now
		changed = append(changed, Verdict{Key: e.key, State: Suspected, Since: e.first, Upstreams: e.crashes, Requests: len(e.requests)})
	}
	return changed
}

// setVerdict stores a refusal and evicts the one that expires first if there are too
// many.
func (c *Collector) setVerdict(v Verdict) {
	if _, ok := c.verdicts[v.Key]; !ok && len(c.verdicts) >= maxVerdicts {
		var first Key
		for key, other := range c.verdicts {
			if first == (Key{}) || other.Expires.Before(c.verdicts[first].Expires) {
				first = key
			}
		}
		delete(c.verdicts, first)
	}
	c.verdicts[v.Key] = v
}
