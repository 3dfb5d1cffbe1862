package recorder

import (
	"maps"
	"slices"

	"github.com/redwingshunt/redwingshunt/wire"
)

// sessionWindowEntries is the number of entries after which an inactive session is
// removed, and also the age beyond which a command is not applied any more. A
// duplicated command is thus either answered from its session or not applied.
const sessionWindowEntries = 1 << 16

// sweepPeriodEntries is the number of entries between two removals of inactive
// sessions.
const sweepPeriodEntries = 1 << 10

// session holds the answers that a proposer may request again.
type session struct {
	floor    uint64 // all lower sequences are answered
	lastUsed uint64 // log index of the last command
	answers  map[uint64][]byte
}

// sessions is part of the replicated state, so all replicas must change it
// identically.
type sessions struct{ byNumber map[uint64]*session }

func newSessions() *sessions { return &sessions{make(map[uint64]*session)} }

// execute returns the answer to a command. The first time it calls apply and, unless
// the command only reads, stores the result. It returns false, without calling apply,
// if it cannot tell whether the command was applied before.
func (s *sessions) execute(index uint64, c *wire.LogCommand, reads bool, apply func() []byte) ([]byte, bool) {
	if index%sweepPeriodEntries == 0 {
		s.sweep(index)
	}
	if c.GetBase()+sessionWindowEntries < index {
		return nil, false
	}
	current := s.byNumber[c.GetSession()]
	if current == nil {
		current = &session{answers: make(map[uint64][]byte)}
		s.byNumber[c.GetSession()] = current
	}
	current.lastUsed = index
	current.advanceFloor(c.GetFloor())
	if c.GetSequence() < current.floor {
		return nil, false
	}
	if answer, ok := current.answers[c.GetSequence()]; ok {
		return answer, true
	}
	answer := apply()
	if !reads {
		current.answers[c.GetSequence()] = answer
	}
	return answer, true
}

// advanceFloor removes the answers that the proposer has received.
func (s *session) advanceFloor(floor uint64) {
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

// sweep removes the sessions whose commands would all be too old.
func (s *sessions) sweep(index uint64) {
	for number, current := range s.byNumber {
		if current.lastUsed+sessionWindowEntries < index {
			delete(s.byNumber, number)
		}
	}
}

// encode returns the sessions in a fixed order, so that equal states have equal
// snapshots.
func (s *sessions) encode() []*wire.LogSession {
	encoded := make([]*wire.LogSession, 0, len(s.byNumber))
	for _, number := range slices.Sorted(maps.Keys(s.byNumber)) {
		current := s.byNumber[number]
		e := &wire.LogSession{Number: number, Floor: current.floor, Used: current.lastUsed}
		for _, sequence := range slices.Sorted(maps.Keys(current.answers)) {
			e.Answers = append(e.Answers, &wire.LogAnswer{Sequence: sequence, Answer: current.answers[sequence]})
		}
		encoded = append(encoded, e)
	}
	return encoded
}

func parseSessions(encoded []*wire.LogSession) *sessions {
	s := newSessions()
	for _, e := range encoded {
		parsed := &session{floor: e.GetFloor(), lastUsed: e.GetUsed(), answers: make(map[uint64][]byte)}
		for _, answer := range e.GetAnswers() {
			parsed.answers[answer.GetSequence()] = answer.GetAnswer()
		}
		s.byNumber[e.GetNumber()] = parsed
	}
	return s
}
