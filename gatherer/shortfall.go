package gatherer

// The comparison of the service of client accounts, for the log. A gatherer is the
// only instance that knows the sums of the whole fleet.

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
	Owed     int64 // tokens that it asked for, at each sample at most what the best account got
	Admitted int64 // tokens in the window
	Best     redwingshunt.AccountID
	Highest  int64 // tokens admitted for the best account
}

// Ratio returns what the account got divided by what it is owed.
func (s Shortfall) Ratio() float64 {
	if s.Owed == 0 {
		return 1
	}
	return float64(s.Admitted) / float64(s.Owed)
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
	accounts := make(map[redwingshunt.AccountID][]*wire.AccountLoad)
	for _, sample := range h.samples {
		for _, load := range sample.GetAccounts() {
			id := redwingshunt.AccountID(load.GetAccount())
			accounts[id] = append(accounts[id], load)
		}
	}
	var best redwingshunt.AccountID
	highest := int64(0)
	for id, loads := range accounts {
		if admitted := admittedBy(loads); admitted > highest || admitted == highest && id < best {
			best, highest = id, admitted
		}
	}
	lowest := Shortfall{}
	for id, loads := range accounts {
		s := Shortfall{Account: id, Admitted: admittedBy(loads), Best: best, Highest: highest}
		if len(loads) < len(h.samples) || len(accounts[best]) < len(h.samples) || !s.addSamples(loads, accounts[best]) {
			continue
		}
		if lowest.Account == "" || s.Ratio() < lowest.Ratio() || s.Ratio() == lowest.Ratio() && id < lowest.Account {
			lowest = s
		}
	}
	return lowest, lowest.Account != "" && lowest.Ratio() < reportedRatio
}

func admittedBy(loads []*wire.AccountLoad) int64 {
	admitted := int64(0)
	for _, load := range loads {
		admitted += int64(load.GetAdmitted())
	}
	return admitted
}

// addSamples adds what the account asked for and is owed, and reports whether it
// asked for more than it got in each sample.
func (s *Shortfall) addSamples(loads, best []*wire.AccountLoad) bool {
	for i, load := range loads {
		if load.GetAsked() <= load.GetAdmitted() {
			return false
		}
		s.Asked += int64(load.GetAsked())
		s.Owed += int64(min(load.GetAsked(), best[i].GetAdmitted()))
	}
	return true
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
