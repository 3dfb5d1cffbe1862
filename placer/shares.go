package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// rateWindow smooths the rates of accounts: an account that comes back has
	// its share within about that time.
	rateWindow = 2 * time.Second
	// shareAge is how long a computed share is used.
	shareAge = 100 * time.Millisecond
	// leastRate is the tokens a second below which an account is forgotten.
	leastRate = 1
)

// rate is a rate in tokens a second, smoothed exponentially.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(now time.Time, tokens int64) {
	r.value = r.get(now) + float64(tokens)/rateWindow.Seconds()
	r.at = now
}

// take takes off what was added at a time before, as far as it still counts.
func (r *rate) take(now, added time.Time, tokens int64) {
	left := math.Exp(-now.Sub(added).Seconds() / rateWindow.Seconds())
	r.value = max(r.get(now)-float64(tokens)/rateWindow.Seconds()*left, 0)
	r.at = now
}

func (r *rate) get(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}

// accountRates are the rates of one account at this router and at all others.
type accountRates struct {
	asked, admitted, begun      rate
	remoteAsked, remoteAdmitted float64
	refused                     Refusals
}

// Refusals counts the requests of an account that this router has refused.
type Refusals struct {
	Full int // since it serves as many requests as it carries
	Wait int // since the wait was beyond the bound of the account
}

// AccountState is what this router knows of an account, in tokens a second.
type AccountState struct {
	Account                redwingshunt.AccountID
	Asked, Admitted, Begun float64  // at this router
	Fleet                  float64  // admitted by all routers
	Share                  float64  // that each account has who asks for more than it
	Refusals               Refusals // since the last report
}

// shares divides the tokens that the engines produce between client accounts.
type shares struct {
	capacity float64 // tokens a second; zero is unlimited
	accounts map[redwingshunt.AccountID]*accountRates
	share    float64
	best     float64 // tokens a second of the account that gets most
	short    bool    // some account is deprived
	computed time.Time
}

func newShares() *shares {
	return &shares{accounts: make(map[redwingshunt.AccountID]*accountRates)}
}

func (s *shares) of(account redwingshunt.AccountID) *accountRates {
	a := s.accounts[account]
	if a == nil {
		a = &accountRates{}
		s.accounts[account] = a
	}
	return a
}

func (s *shares) ask(now time.Time, account redwingshunt.AccountID, tokens int64) {
	s.of(account).asked.add(now, tokens)
}

// withhold takes an admission back that was not served.
func (s *shares) withhold(now, admitted time.Time, account redwingshunt.AccountID, tokens int64) {
	s.of(account).admitted.take(now, admitted, tokens)
}

func (s *shares) begin(now time.Time, account redwingshunt.AccountID, tokens int64) {
	s.of(account).begun.add(now, tokens)
}

// report returns the accounts of which requests were refused since the last one,
// the most refused first, and at most so many.
func (s *shares) report(now time.Time, most int) []AccountState {
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
	return states[:min(len(states), most)]
}

func (r Refusals) total() int { return r.Full + r.Wait }

func (s *shares) admit(now time.Time, account redwingshunt.AccountID, tokens int64) {
	s.of(account).admitted.add(now, tokens)
}

// excess returns what an account has been given against its max-min share: one
// is just its share.
func (s *shares) excess(now time.Time, account redwingshunt.AccountID) float64 {
	if s.capacity == 0 {
		return 0
	}
	if now.Sub(s.computed) > shareAge || s.computed.IsZero() {
		s.compute(now)
	}
	a := s.of(account)
	return (a.admitted.get(now) + a.remoteAdmitted) / s.share
}

// deprivedShare is the part of what an account asks, or of what the best served
// one gets, below which it is helped at the cost of reading prompts again. It is
// above the half that an account may fall short of another.
const deprivedShare = 0.6

// deprived reports whether an account gets far less than it asks and than
// another one.
func (s *shares) deprived(now time.Time, account redwingshunt.AccountID) bool {
	return s.isDeprived(now, s.of(account))
}

func (s *shares) isDeprived(now time.Time, a *accountRates) bool {
	asked := a.asked.get(now) + a.remoteAsked
	return a.admitted.get(now)+a.remoteAdmitted < deprivedShare*min(asked, s.best)
}

// compute finds the share that all accounts get who ask for more than it.
func (s *shares) compute(now time.Time) {
	s.computed = now
	var asked []float64
	produced := 0.0
	s.best = 0
	for id, a := range s.accounts {
		total := a.asked.get(now) + a.remoteAsked
		if total < leastRate && a.admitted.get(now)+a.remoteAdmitted < leastRate {
			delete(s.accounts, id)
			continue
		}
		asked = append(asked, total)
		admitted := a.admitted.get(now) + a.remoteAdmitted
		produced += admitted
		s.best = max(s.best, admitted)
	}
	s.short = false
	for _, a := range s.accounts {
		s.short = s.short || s.isDeprived(now, a)
	}
	// Kept prompt parts let the engines produce more than the document says.
	s.share = maxMin(max(s.capacity, produced), asked)
}

// maxMin returns the largest share for which the demands, each cut to it, fit
// the capacity.
func maxMin(capacity float64, asked []float64) float64 {
	slices.Sort(asked)
	left := capacity
	for i, demand := range asked {
		even := left / float64(len(asked)-i)
		if demand > even {
			return even
		}
		left -= demand
	}
	return math.Inf(1)
}
