package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// rateTimeConstant is the time constant of the moving average of account rates.
	// An account that returns from idle gets its share within about that time.
	rateTimeConstant = 2 * time.Second
	// maxShareAge is how long a computed share is used.
	maxShareAge = 100 * time.Millisecond
	// minTokensPerSecond is the rate below which an account is dropped.
	minTokensPerSecond = 1
)

// rate is an exponentially weighted moving average in tokens per second.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(now time.Time, tokens int64) {
	r.value = r.get(now) + float64(tokens)/rateTimeConstant.Seconds()
	r.at = now
}

// subtract removes tokens that were added earlier, as far as they have not decayed.
func (r *rate) subtract(now, addedAt time.Time, tokens int64) {
	decay := math.Exp(-now.Sub(addedAt).Seconds() / rateTimeConstant.Seconds())
	r.value = max(r.get(now)-float64(tokens)/rateTimeConstant.Seconds()*decay, 0)
	r.at = now
}

func (r *rate) get(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateTimeConstant.Seconds())
}

// accountRates holds the rates of one account at this router and, as reported, at
// all others.
type accountRates struct {
	asked, admitted, begun      rate
	remoteAsked, remoteAdmitted float64
	refused                     Refusals
}

// Refusals counts the requests of an account that this router has refused.
type Refusals struct {
	Full int // because the router had no capacity
	Wait int // because the predicted wait exceeded the bound of the account
}

// AccountState is the state of a client account at this router. Rates are in tokens
// per second.
type AccountState struct {
	Account                redwingshunt.AccountID
	Asked, Admitted, Begun float64  // at this router
	Fleet                  float64  // admitted by all routers
	Share                  float64  // max-min share; infinite when no account is limited
	Refusals               Refusals // since the last report
}

// shares divides the capacity of the engines between client accounts.
type shares struct {
	capacity float64 // tokens per second; zero is unlimited
	accounts map[redwingshunt.AccountID]*accountRates
	share    float64 // tokens per second
	highest  float64 // highest admitted rate of an account, in tokens per second
	computed time.Time

	regions map[redwingshunt.AccountID]redwingshunt.AllowedRegions // in which an account may be served
	// underserved holds the regions of each underserved account, or only a set of all
	// regions if one of them may use all.
	underserved []redwingshunt.AllowedRegions
}

func newShares() *shares {
	return &shares{accounts: make(map[redwingshunt.AccountID]*accountRates)}
}

// configure applies the limits and accounts of a document.
func (s *shares) configure(document *redwingshunt.Document) {
	s.capacity = float64(document.Limits.Tokens)
	s.regions = document.AccountRegions()
}

// anyUnderserved reports whether an account is underserved that may use a region. An
// account behind the upstreams of its own regions must not limit others elsewhere.
func (s *shares) anyUnderserved(region redwingshunt.RegionID) bool {
	return slices.ContainsFunc(s.underserved, func(a redwingshunt.AllowedRegions) bool { return a.Has(region) })
}

// underservedEverywhere reports whether an account is underserved that may use all regions.
func (s *shares) underservedEverywhere() bool {
	return len(s.underserved) == 1 && !s.underserved[0].Limited()
}

// limits reports whether an account with the given share ratio may not wait at upstreams
// of a region, because it is beyond its share and another one is underserved there.
func (s *shares) limits(region redwingshunt.RegionID, shareRatio float64) bool {
	return shareRatio > minBoundRatio && s.anyUnderserved(region)
}

func (s *shares) of(account redwingshunt.AccountID) *accountRates {
	a := s.accounts[account]
	if a == nil {
		a = &accountRates{}
		s.accounts[account] = a
	}
	return a
}

func (s *shares) countDemand(now time.Time, account redwingshunt.AccountID, tokens int64) {
	s.of(account).asked.add(now, tokens)
}

// refund reverses an admission that was not served.
func (s *shares) refund(now, admitted time.Time, account redwingshunt.AccountID, tokens int64) {
	s.of(account).admitted.subtract(now, admitted, tokens)
}

func (s *shares) begin(now time.Time, account redwingshunt.AccountID, tokens int64) {
	s.of(account).begun.add(now, tokens)
}

// report returns the accounts that had requests refused since the last report,
// those with the most refusals first, and at most the given number.
func (s *shares) report(now time.Time, limit int) []AccountState {
	var states []AccountState
	for id, a := range s.accounts {
		if a.refused == (Refusals{}) {
			continue
		}
		states = append(states, AccountState{
			Account: id, Asked: a.asked.get(now), Admitted: a.admitted.get(now), Begun: a.begun.get(now),
			Fleet: a.admitted.get(now) + a.remoteAdmitted, Share: s.share, Refusals: a.refused,
		})
		a.refused = Refusals{}
	}
	slices.SortFunc(states, func(a, b AccountState) int {
		return cmp.Or(cmp.Compare(b.Refusals.total(), a.Refusals.total()), cmp.Compare(a.Account, b.Account))
	})
	return states[:min(len(states), limit)]
}

func (r Refusals) total() int { return r.Full + r.Wait }

func (s *shares) admit(now time.Time, account redwingshunt.AccountID, tokens int64) {
	s.of(account).admitted.add(now, tokens)
}

// shareRatio returns the admitted rate of an account divided by its max-min share, or
// zero when the capacity is unlimited.
func (s *shares) shareRatio(now time.Time, account redwingshunt.AccountID) float64 {
	if s.capacity == 0 {
		return 0
	}
	if now.Sub(s.computed) > maxShareAge || s.computed.IsZero() {
		s.compute(now)
	}
	a := s.of(account)
	return (a.admitted.get(now) + a.remoteAdmitted) / s.share
}

// underservedRatio is the fraction of an account's demand, or of the highest admitted
// rate if that is lower, below which the account is placed at the cost of
// prefilling prompts again. It is above 0.5, the lowest ratio that is accepted
// between the rates of two accounts.
const underservedRatio = 0.6

// isBehind reports whether an account gets far less than it asks for and far less
// than the account with the highest rate.
func (s *shares) isBehind(now time.Time, account redwingshunt.AccountID) bool {
	return s.isUnderserved(now, s.of(account))
}

func (s *shares) isUnderserved(now time.Time, a *accountRates) bool {
	asked := a.asked.get(now) + a.remoteAsked
	return a.admitted.get(now)+a.remoteAdmitted < underservedRatio*min(asked, s.highest)
}

// compute updates the max-min share and drops accounts without load.
func (s *shares) compute(now time.Time) {
	s.computed = now
	var asked []float64
	served := 0.0
	s.highest = 0
	for id, a := range s.accounts {
		total := a.asked.get(now) + a.remoteAsked
		if total < minTokensPerSecond && a.admitted.get(now)+a.remoteAdmitted < minTokensPerSecond {
			delete(s.accounts, id)
			continue
		}
		asked = append(asked, total)
		admitted := a.admitted.get(now) + a.remoteAdmitted
		served += admitted
		s.highest = max(s.highest, admitted)
	}
	s.underserved = s.underserved[:0]
	unlimited := false
	for id, a := range s.accounts {
		if !s.isUnderserved(now, a) {
			continue
		}
		if regions := s.regions[id]; regions.Limited() {
			s.underserved = append(s.underserved, regions)
		} else {
			unlimited = true
		}
	}
	if unlimited {
		s.underserved = append(s.underserved[:0], redwingshunt.AllowedRegions{})
	}
	// Prefix caching lets the engines serve more than the limit in the document.
	s.share = maxMinShare(max(s.capacity, served), asked)
}

// maxMinShare returns the max-min fair share: the largest one for which the demands,
// each limited to it, fit the capacity. It is infinite when all demands fit.
func maxMinShare(capacity float64, demands []float64) float64 {
	slices.Sort(demands)
	left := capacity
	for i, demand := range demands {
		even := left / float64(len(demands)-i)
		if demand > even {
			return even
		}
		left -= demand
	}
	return math.Inf(1)
}
