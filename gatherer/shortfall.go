package gatherer

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	// shortfallWindow is the time over which the service of accounts is compared. It
	// is several times the time constant of the rates that routers report.
	shortfallWindow = 6 * time.Second
	// samplePeriod is the interval between two samples of the rates.
	samplePeriod = time.Second
	// reportedRatio is the ratio of service below which a shortfall is reported.
	reportedRatio = 0.9
)

// Shortfall compares the client account that is furthest behind with the one that
// got the most.
type Shortfall struct {
	Account  redwingshunt.AccountID
	Asked    int64 // tokens in the window
	Admitted int64 // tokens in the window
	Best     redwingshunt.AccountID
	Highest  int64 // tokens admitted for the best account
}

// Ratio returns what the account got divided by what it asked for or by what the best
// account got, whichever is less.
func (s Shortfall) Ratio() float64 {
	owed := min(s.Asked, s.Highest)
	if owed == 0 {
		return 1
	}
	return float64(s.Admitted) / float64(owed)
}

// history holds the rates of accounts at the last samples.
type history struct {
	samples []*wire.Loads // of the whole fleet, oldest first
	sampled time.Time
}

// due reports whether a sample is to be taken.
func (h *history) due(now time.Time) bool { return now.Sub(h.sampled) >= samplePeriod }

// add adds a sample and drops the one that leaves the window. Samples before a
// pause in which none was taken are dropped.
func (h *history) add(now time.Time, loads *wire.Loads) {
	if now.Sub(h.sampled) >= 2*samplePeriod {
		h.samples = nil
	}
	h.sampled = now
	h.samples = append(h.samples, loads)
	if len(h.samples) > int(shortfallWindow/samplePeriod) {
		h.samples = h.samples[1:]
	}
}

// shortfall returns the account with the lowest ratio over the window, and false if
// no account is far enough behind or the window is not full yet.
func (h *history) shortfall() (Shortfall, bool) {
	if len(h.samples) < int(shortfallWindow/samplePeriod) {
		return Shortfall{}, false
	}
	accounts := make(map[redwingshunt.AccountID]*Shortfall)
	for _, sample := range h.samples {
		for _, load := range sample.GetAccounts() {
			id := redwingshunt.AccountID(load.GetAccount())
			if accounts[id] == nil {
				accounts[id] = &Shortfall{Account: id}
			}
			accounts[id].Asked += int64(load.GetAsked())
			accounts[id].Admitted += int64(load.GetAdmitted())
		}
	}
	best := Shortfall{}
	for _, a := range accounts {
		if a.Admitted > best.Admitted || a.Admitted == best.Admitted && a.Account < best.Account {
			best = *a
		}
	}
	lowest := Shortfall{}
	for _, a := range accounts {
		a.Best, a.Highest = best.Account, best.Admitted
		if lowest.Account == "" || a.Ratio() < lowest.Ratio() || a.Ratio() == lowest.Ratio() && a.Account < lowest.Account {
			lowest = *a
		}
	}
	return lowest, lowest.Account != "" && lowest.Ratio() < reportedRatio
}

// Shortfall samples the rates of accounts, at most once per samplePeriod, and returns
// the account that is furthest behind over the window. It returns false if none is,
// or if no sample is due.
func (c *Core) Shortfall(now time.Time) (Shortfall, bool) {
	if !c.history.due(now) {
		return Shortfall{}, false
	}
	c.history.add(now, c.total(now).loads())
	return c.history.shortfall()
}
