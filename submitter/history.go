package submitter

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/merger"
	"github.com/redwingshunt/redwingshunt/registrar"
)

// Change is one accepted change of the document.
type Change struct {
	Revision redwingshunt.Revision `json:"revision"`
	Section  redwingshunt.Section  `json:"section,omitempty"` // empty for the whole document
	Team     redwingshunt.TeamID   `json:"team"`
	At       time.Time             `json:"at"`
	ID       string                `json:"id"`   // of the submission
	Size     int                   `json:"size"` // bytes of the changed sections
}

// Difference holds two revisions of a text and the change between them.
type Difference struct {
	From merger.Part
	To   merger.Part
	Hunk merger.Hunk
}

// Fence is a fencing token and its lease.
type Fence struct {
	Granted   bool
	Number    redwingshunt.Epoch
	Holder    string
	Remaining time.Duration // of the lease of the holder
}

// Changes returns at most limit accepted changes with revisions below before,
// newest first. If before is zero, it starts at the newest change.
func (s *Submitter) Changes(ctx context.Context, limit int, before redwingshunt.Revision) ([]Change, error) {
	command, err := registrar.History(s.options.Clock.Now(), limit, before)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	reply, err := s.commit(ctx, command)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var changes []Change
	for _, c := range reply.GetChanges() {
		changes = append(changes, Change{
			Revision: redwingshunt.Revision(c.GetRevision()), Section: redwingshunt.Section(c.GetSection()),
			Team: redwingshunt.TeamID(c.GetTeam()), At: time.Unix(0, c.GetAt()), ID: c.GetId(), Size: int(c.GetSize()),
		})
	}
	return changes, nil
}

// Text returns a section as it was at a revision. An empty section stands for the
// whole document, and revision zero for the newest.
func (s *Submitter) Text(ctx context.Context, section redwingshunt.Section, revision redwingshunt.Revision) (merger.Part, error) {
	command, err := registrar.Text(s.options.Clock.Now(), section, revision)
	if err != nil {
		return merger.Part{}, trace.Wrap(err)
	}
	reply, err := s.commit(ctx, command)
	if err != nil {
		return merger.Part{}, trace.Wrap(err)
	}
	return merger.Part{Section: section, Revision: redwingshunt.Revision(reply.GetRevision()), Text: reply.GetText()}, nil
}

// Diff returns the difference between two revisions of a section or, if section is
// empty, of the document.
func (s *Submitter) Diff(ctx context.Context, section redwingshunt.Section, from, to redwingshunt.Revision) (Difference, error) {
	before, err := s.Text(ctx, section, from)
	if err != nil {
		return Difference{}, err
	}
	after, err := s.Text(ctx, section, to)
	if err != nil {
		return Difference{}, err
	}
	return Difference{From: before, To: after, Hunk: merger.CompareLines(before.Text, after.Text)}, nil
}

// Fence acquires or renews the lease of a name for a holder. A holder that restarts
// must use a new holder name to get a new fencing token.
func (s *Submitter) Fence(ctx context.Context, name, holder string, lease time.Duration) (Fence, error) {
	command, err := registrar.Fence(s.options.Clock.Now(), name, holder, lease)
	if err != nil {
		return Fence{}, trace.Wrap(err)
	}
	reply, err := s.commit(ctx, command)
	if err != nil {
		return Fence{}, trace.Wrap(err)
	}
	f := reply.GetFence()
	return Fence{
		Granted: f.GetGranted(), Number: redwingshunt.Epoch(f.GetNumber()),
		Holder: f.GetHolder(), Remaining: time.Duration(f.GetRemaining()),
	}, nil
}
