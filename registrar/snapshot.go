package registrar

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/merger"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Versions of the snapshot format. A snapshot without evacuations has the format that
// versions without them read; they refuse the other one at their start instead of
// dropping the evacuations.
const (
	plainFormat       = 1
	evacuationsFormat = 2
)

// Snapshot encodes the whole state.
func (r *Registrar) Snapshot() ([]byte, error) {
	s := &wire.RegistrarState{
		Format:      plainFormat,
		Revision:    uint64(r.state.Revision),
		At:          encodeTime(r.state.At),
		Clock:       encodeTime(r.clock),
		Changes:     r.history.changes,
		Floor:       r.history.oldestText,
		Submissions: r.answers.queue,
	}
	if r.evacuations != nil {
		s.Format, s.Evacuations = evacuationsFormat, r.evacuations
	}
	for _, part := range r.state.Parts {
		s.Sections = append(s.Sections, &wire.SectionRecord{
			Section: string(part.Section), Revision: uint64(part.Revision), Text: part.Text,
		})
	}
	for _, name := range slices.Sorted(maps.Keys(r.fences)) {
		s.Fences = append(s.Fences, r.fences[name])
	}
	snapshot, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	return snapshot, trace.Wrap(err)
}

// Restore replaces the state with a snapshot. If it returns an error, the state
// is unchanged.
func (r *Registrar) Restore(snapshot []byte) error {
	var s wire.RegistrarState
	if err := proto.Unmarshal(snapshot, &s); err != nil {
		return trace.Wrap(err, "cannot decode the snapshot of the control group")
	}
	if s.GetFormat() != plainFormat && s.GetFormat() != evacuationsFormat {
		return trace.BadParameter("snapshot of the control group has format %d, want %d or %d", s.GetFormat(), plainFormat, evacuationsFormat)
	}
	state, err := r.decodeState(&s)
	if err != nil {
		return trace.Wrap(err)
	}
	r.reset()
	r.clock = decodeTime(s.GetClock())
	r.evacuations = s.GetEvacuations()
	r.history = decodeHistory(&s)
	for _, record := range s.GetSubmissions() {
		r.answers.put(record)
	}
	for _, record := range s.GetFences() {
		r.fences[record.GetName()] = record
	}
	if state.Revision != 0 {
		r.accept(state)
	}
	return nil
}

// decodeState decodes the sections of a snapshot and parses their document.
func (r *Registrar) decodeState(s *wire.RegistrarState) (State, error) {
	state := State{Revision: redwingshunt.Revision(s.GetRevision()), At: decodeTime(s.GetAt())}
	for _, record := range s.GetSections() {
		state.Parts = append(state.Parts, merger.Part{
			Section:  redwingshunt.Section(record.GetSection()),
			Revision: redwingshunt.Revision(record.GetRevision()),
			Text:     record.GetText(),
		})
	}
	if state.Revision == 0 {
		return state, nil
	}
	document, findings := r.options.Document(fmt.Sprintf("revision %d", state.Revision), merger.Join(state.Parts))
	state.Document = document
	return state, trace.Wrap(findings.Err())
}

func decodeHistory(s *wire.RegistrarState) history {
	h := history{changes: s.GetChanges(), oldestText: s.GetFloor()}
	for _, change := range h.changes {
		h.editBytes += sizeOfEdits(change)
		if change.GetRevision() <= h.oldestText {
			h.stripped++
		}
	}
	return h
}

// encodeTime returns the Unix time in nanoseconds, or 0 for the zero time.
func encodeTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func decodeTime(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}
