// Package registrar implements the replicated state machine of the control
// group. Its state is the configuration document by sections, the answers to
// submissions, the history of accepted changes, the fencing numbers, and the
// evacuations of availability zones.
//
// Every voter applies the same commands in the same order and reaches the same
// state. A command carries the time of its proposer; the registrar reads no
// clock. It checks a change against the current state at the time of Apply, not
// against the state that the sender saw:
//
//   - the base revision must be the current one of the section, so that of two
//     concurrent changes of one section exactly one is accepted and the other is
//     refused with a description of what changed; changes of different sections
//     do not conflict;
//   - the team must still have the key that authenticated it, and must have the
//     right to edit each section that changes;
//   - the merged document must be valid as a whole;
//   - at least one team must remain that may edit the section teams.
//
// The answer to a submission is stored under the submission's ID, so that a
// resend gets the first answer. It is stored for AnswerRetention, or less if there
// are more than MaxAnswers submissions in that time. A later resend has an
// outdated base and is refused, so that a submission is never executed twice.
//
// The history has the newest MaxChanges changes with revision, time, section,
// team, size and submission ID. Old texts are stored as reverse edits from the
// text in force, up to MaxEditBytes bytes in total.
//
// # Usage
//
//	r := registrar.New(registrar.Options{
//		Document: parser.Document,
//		Section:  parser.Section,
//		CheckChange: claimer.FindMovedKeys,
//		Accepted: subscriber.Accept, // called with each new configuration
//	})
//	answer := r.Apply(index, command) // for command see Submit, Fence, History and Text
package registrar

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/merger"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Limits of the state.
const (
	AnswerRetention = 7 * 24 * time.Hour // retention of the answer to a submission
	MaxAnswers      = 20_000             // stored answers
	MaxChanges      = 20_000             // changes in the history
	MaxEditBytes    = 4 << 20            // bytes of reverse edits to old texts
	MaxFences       = 4_096              // names with a fencing number
	MaxTextBytes    = 8 << 20            // bytes of a submitted text
	MaxIDBytes      = 128                // bytes of a submission ID, a name or a holder

	maxClockAdvance = time.Hour // maximum advance of the clock by one command
	maxFindings     = 50        // findings in a stored answer
)

// Fields of wire.RegistrarCommand with the commands that only read.
const (
	historyField protowire.Number = 4
	textField    protowire.Number = 5
)

// Bootstrap is the team that submits the first document. It may edit every
// section as long as the document has no teams.
const Bootstrap redwingshunt.TeamID = "bootstrap"

// DocumentFunc parses a whole document, as parser.Document does.
type DocumentFunc func(name string, text []byte) (*redwingshunt.Document, redwingshunt.Findings)

// SectionFunc parses one section, merges it into a copy of whole, which may be
// nil, and validates the merged document, as parser.Section does.
type SectionFunc func(name string, section redwingshunt.Section, text []byte, whole *redwingshunt.Document) (*redwingshunt.Document, redwingshunt.Findings)

// State is an accepted configuration. It is immutable.
type State struct {
	Revision redwingshunt.Revision
	At       time.Time
	Document *redwingshunt.Document
	Parts    []merger.Part

	Evacuations Evacuations // with a revision of their own
}

// Options configure a registrar.
type Options struct {
	Document DocumentFunc
	Section  SectionFunc
	// CheckChange returns the reasons, if any, that forbid a change from one valid
	// document to another; an example is claimer.FindMovedKeys. It may be nil.
	CheckChange func(before, after *redwingshunt.Document) redwingshunt.Findings
	// Accepted is called with each configuration that Apply or Restore puts in
	// force. It must return quickly, and may be nil.
	Accepted func(State)
}

// Registrar is the state machine of the control group. It is not safe for
// concurrent use.
type Registrar struct {
	options Options
	state   State
	clock   time.Time // determines when answers expire; see advance
	answers answers
	history history
	fences  map[string]*wire.FenceRecord

	evacuations *wire.EvacuationsRecord // replaced as a whole; nil if there never was one
}

var _ redwingshunt.Reader = (*Registrar)(nil)

// New returns a registrar without a document.
func New(options Options) *Registrar {
	r := &Registrar{options: options}
	r.reset()
	return r
}

func (r *Registrar) reset() {
	r.state = State{}
	r.clock = time.Time{}
	r.answers = newAnswers()
	r.history = history{}
	r.fences = make(map[string]*wire.FenceRecord)
	r.evacuations = nil
}

// State returns the configuration in force; its revision is zero without one.
func (r *Registrar) State() State { return r.state }

// Apply executes a committed command and returns an encoded RegistrarReply.
func (r *Registrar) Apply(_ uint64, command []byte) []byte {
	reply := r.apply(command)
	answer, err := proto.MarshalOptions{Deterministic: true}.Marshal(reply)
	if err != nil { // only for text that is not UTF-8
		return nil
	}
	return answer
}

// Reads reports whether a command reads the history or a text. Their results may be as
// large as the document.
func (r *Registrar) Reads(command []byte) bool {
	for len(command) > 0 {
		field, _, size := protowire.ConsumeField(command)
		if size < 0 {
			return false
		}
		if field == historyField || field == textField {
			return true
		}
		command = command[size:]
	}
	return false
}

func (r *Registrar) apply(command []byte) *wire.RegistrarReply {
	var c wire.RegistrarCommand
	if err := proto.Unmarshal(command, &c); err != nil {
		return &wire.RegistrarReply{Error: "the command cannot be read: " + err.Error()}
	}
	at := time.Unix(0, c.GetAt())
	r.advance(at)
	switch {
	case c.GetSubmit() != nil:
		return &wire.RegistrarReply{Receipt: r.submit(c.GetSubmit(), at)}
	case c.GetFence() != nil:
		return r.fence(c.GetFence(), at)
	case c.GetHistory() != nil:
		return &wire.RegistrarReply{Changes: r.history.list(c.GetHistory())}
	case c.GetText() != nil:
		return r.text(c.GetText())
	case c.GetReplace() != nil:
		return r.replace(c.GetReplace(), at)
	case c.GetEvacuate() != nil:
		return r.evacuate(c.GetEvacuate(), at)
	}
	return &wire.RegistrarReply{Error: "the command is of an unknown kind"}
}

// advance moves the clock of the state machine forward to at, by at most
// maxClockAdvance. Because of the limit, a command from a proposer whose clock is
// years ahead shortens the retention of answers by no more than maxClockAdvance.
func (r *Registrar) advance(at time.Time) {
	if r.clock.IsZero() {
		r.clock = at
	}
	if at.After(r.clock.Add(maxClockAdvance)) {
		at = r.clock.Add(maxClockAdvance)
	}
	if at.After(r.clock) {
		r.clock = at
	}
}

// accept puts a configuration in force, with the evacuations of this replica.
func (r *Registrar) accept(s State) {
	s.Evacuations = DecodeEvacuations(r.evacuations)
	r.state = s
	if r.options.Accepted != nil {
		r.options.Accepted(s)
	}
}
