package recorder

import (
	"maps"
	"slices"

	"github.com/redwingshunt/redwingshunt/wire"
)

// sessionWindow is the number of entries for which a session that proposes
// nothing is remembered, and beyond which a command is too old to be applied. A
// doubled command is thus either answered from its session or not applied.
const sessionWindow = 1 << 16

// sweepPeriod is the number of entries between two removals of old sessions.
const sweepPeriod = 1 << 10

// session holds the answers that a proposer may ask for again.
type session struct {
	floor   uint64 // all commands below are answered
	used    uint64 // index of the last command
	answers map[uint64][]byte
}

// sessions are part of the replicated state: all replicas change them alike.
type sessions struct{ byNumber map[uint64]*session }

func newSessions() *sessions { return &sessions{make(map[uint64]*session)} }

// execute returns the answer to a command, which apply gives the first time. It
// reports false, and does not call apply, if it cannot tell whether the command
// has been applied before.
func (s *sessions) execute(index uint64, c *wire.LogCommand, apply func() []byte) ([]byte, bool) {
	if index%sweepPeriod == 0 {
		s.sweep(index)
	}
	if c.GetBase()+sessionWindow < index {
		return nil, false
	}
	own := s.byNumber[c.GetSession()]
	if own == nil {
		own = &session{answers: make(map[uint64][]byte)}
		s.byNumber[c.GetSession()] = own
	}
	own.used = index
	own.raise(c.GetFloor())
	if c.GetSequence() < own.floor {
		return nil, false
	}
	if answer, ok := own.answers[c.GetSequence()]; ok {
		return answer, true
	}
	answer := apply()
	own.answers[c.GetSequence()] = answer
	return answer, true
}

// raise forgets the answers that the proposer has.
func (s *session) raise(floor uint64) {
	if floor <= s.floor {
		return
	}
	s.floor = floor
	for sequence := range s.answers {
		if sequence < floor {
			delete(s.answers, sequence)
		}
	}
}

// sweep removes sessions of which every command would be too old.
func (s *sessions) sweep(index uint64) {
	for number, own := range s.byNumber {
		if own.used+sessionWindow < index {
			delete(s.byNumber, number)
		}
	}
}

// encode returns the sessions in a fixed order.
func (s *sessions) encode() []*wire.LogSession {
	encoded := make([]*wire.LogSession, 0, len(s.byNumber))
	for _, number := range slices.Sorted(maps.Keys(s.byNumber)) {
		own := s.byNumber[number]
		e := &wire.LogSession{Number: number, Floor: own.floor, Used: own.used}
		for _, sequence := range slices.Sorted(maps.Keys(own.answers)) {
			e.Answers = append(e.Answers, &wire.LogAnswer{Sequence: sequence, Answer: own.answers[sequence]})
		}
		encoded = append(encoded, e)
	}
	return encoded
}

func parseSessions(encoded []*wire.LogSession) *sessions {
	s := newSessions()
	for _, e := range encoded {
		own := &session{floor: e.GetFloor(), used: e.GetUsed(), answers: make(map[uint64][]byte)}
		for _, answer := range e.GetAnswers() {
			own.answers[answer.GetSequence()] = answer.GetAnswer()
		}
		s.byNumber[e.GetNumber()] = own
	}
	return s
}
