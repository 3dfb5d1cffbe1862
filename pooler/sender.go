package pooler

import (
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// CheckPeriod is how often times are looked at; loads are sent ten times as often.
	CheckPeriod = time.Second
	// transferDelay is how long a router sends no times to a new gatherer. Membership has
	// detected the loss of the one before by then, so that others have dropped its sums, and
	// one that is live has told them that the times were withdrawn.
	transferDelay = 5 * time.Second
	// routerRefresh is how often a router repeats the times of a class.
	routerRefresh = 10 * time.Second
	// sumRefresh is how often a gatherer repeats a sum to the other gatherers, and replyRefresh
	// to its routers. Windows of times are 30 to 60 s, and a gatherer has up to 72 routers.
	sumRefresh, replyRefresh = 20 * time.Second, 30 * time.Second
	// routerGrowth, sumGrowth and replyGrowth are the factors by which the times of a class
	// have to grow to be sent before they are due, as after the start of a fleet. A factor
	// of two for replies alone would take more than 200 B/s in the first minute.
	routerGrowth, sumGrowth, replyGrowth = 2, 4, 8
	// leastReply is the number of times from which a sum is sent to a router before it is due.
	leastReply = 32
)

// schedule decides when the times of each class are due at one receiver.
type schedule struct {
	refresh time.Duration
	growth  int64
	least   int64 // times that are due at once
	sent    map[Class]mark
	used    time.Time
}

// mark is what was sent of a class.
type mark struct {
	at    time.Time
	total int64
}

func newSchedule(refresh time.Duration, growth, least int64) *schedule {
	return &schedule{refresh: refresh, growth: growth, least: least, sent: make(map[Class]mark)}
}

// due reports whether times of a class have to be sent now. Those that are gone are due
// once, to be withdrawn.
func (s *schedule) due(now time.Time, class Class, total int64) bool {
	m, known := s.sent[class]
	switch {
	case total == 0 && m.total == 0:
		delete(s.sent, class)
		return false
	case !known:
		m.at = now
		s.sent[class] = m
	}
	return now.Sub(m.at) >= s.refresh || total >= max(s.least, s.growth*m.total)
}

// markSent records that times of a class are sent.
func (s *schedule) markSent(now time.Time, class Class, total int64) {
	s.sent[class] = mark{at: now, total: total}
}

// hasten makes a class due that has been sent.
func (s *schedule) hasten(class Class) {
	if m, known := s.sent[class]; known {
		s.sent[class] = mark{total: m.total}
	}
}

// Sender decides which times of a router are sent to its gatherer. The zero value is ready
// to use. It is used by one goroutine at a time.
type Sender struct {
	to       redwingshunt.InstanceID
	from     time.Time // from when on times are sent to it
	checked  time.Time
	schedule *schedule

	sequence uint64 // of the last sums that were received
	received time.Time
}

// Change sets the gatherer. It returns what has to be sent to the one before, if that has
// got times: it would count them a second time.
func (s *Sender) Change(now time.Time, to redwingshunt.InstanceID) []Times {
	if to == s.to {
		return nil
	}
	var withdrawn []Times
	if s.schedule != nil {
		for class, m := range s.schedule.sent {
			if m.total > 0 {
				withdrawn = append(withdrawn, Times{Class: class})
			}
		}
	}
	if len(withdrawn) > 0 {
		s.from = now.Add(transferDelay)
	}
	s.to, s.schedule, s.sequence = to, nil, 0
	return sorted(withdrawn)
}

// Current reports whether sums in a message are those of the present gatherer and newer than
// the last ones, which they replace then.
func (s *Sender) Current(now time.Time, from redwingshunt.InstanceID, sequence uint64) bool {
	if from != s.to || sequence <= s.sequence && now.Sub(s.received) < ReplyExpiry {
		return false
	}
	s.sequence, s.received = sequence, now
	return true
}

// Asks reports whether no sums have come from the present gatherer, as after a restart of
// this router, which the gatherer does not notice.
func (s *Sender) Asks() bool { return s.sequence == 0 }

// Due returns the times to be sent to the gatherer now. It calls own, which returns the
// times of this router, at most once in CheckPeriod.
func (s *Sender) Due(now time.Time, own func() []Times) []Times {
	if s.to == "" || now.Before(s.from) || now.Sub(s.checked) < CheckPeriod {
		return nil
	}
	s.checked = now
	current := own()
	if s.schedule == nil {
		if len(current) == 0 {
			return nil
		}
		s.schedule = newSchedule(routerRefresh, routerGrowth, 1)
	}
	var due []Times
	present := make(map[Class]bool, len(current))
	for _, t := range current {
		present[t.Class] = true
		t.Counts.limit(MaxTimes)
		if total := t.Counts.Total(); s.schedule.due(now, t.Class, total) {
			s.schedule.markSent(now, t.Class, total)
			due = append(due, t)
		}
	}
	for class := range s.schedule.sent { // dropped, or not to be hedged any more
		if !present[class] && s.schedule.due(now, class, 0) {
			s.schedule.markSent(now, class, 0)
			due = append(due, Times{Class: class})
		}
	}
	return sorted(due)
}

// sorted orders times by class.
func sorted(times []Times) []Times {
	slices.SortFunc(times, func(a, b Times) int { return a.Class.compare(b.Class) })
	return times
}
