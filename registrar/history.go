package registrar

import (
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/merger"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	defaultListedChanges = 100 // changes in one reply if the command has no limit
	maxListedChanges     = 1000
	maxConflictChanges   = 5 // changes described in a conflict
)

// history stores the accepted changes, oldest first, with the edits that restore
// the texts before them.
type history struct {
	changes    []*wire.ChangeRecord
	editBytes  int    // size of all stored edits
	stripped   int    // changes at the beginning whose edits were dropped
	oldestText uint64 // oldest revision whose texts can be restored
}

// newChange returns the record of the change from one state to the next.
func newChange(c *wire.SubmitCommand, before, after State) *wire.ChangeRecord {
	change := &wire.ChangeRecord{
		Revision: uint64(after.Revision),
		Section:  c.GetSection(),
		Team:     c.GetTeam(),
		At:       after.At.UnixNano(),
		Id:       c.GetId(),
	}
	for _, section := range changedSections(before.Parts, after.Parts) {
		old, next := merger.Find(before.Parts, section), merger.Find(after.Parts, section)
		change.Size += uint32(len(next.Text))
		change.Back = append(change.Back, &wire.SectionEdit{
			Section:  string(section),
			Revision: uint64(old.Revision),
			Edit:     merger.Delta(next.Text, old.Text),
		})
	}
	return change
}

// add appends a change, and drops the oldest edits above MaxEditBytes bytes and the
// oldest changes above MaxChanges.
func (h *history) add(change *wire.ChangeRecord) {
	h.changes = append(h.changes, change)
	h.editBytes += sizeOfEdits(change)
	for h.editBytes > MaxEditBytes && h.stripped < len(h.changes) {
		h.stripOldest()
	}
	for len(h.changes) > MaxChanges {
		if h.stripped == 0 {
			h.stripOldest()
		}
		h.changes = h.changes[1:]
		h.stripped--
	}
}

// stripOldest drops the edits of the oldest change that still has them.
func (h *history) stripOldest() {
	change := h.changes[h.stripped]
	h.editBytes -= sizeOfEdits(change)
	h.oldestText = change.GetRevision()
	stripped := proto.CloneOf(change)
	stripped.Back = nil
	h.changes[h.stripped] = stripped
	h.stripped++
}

// sizeOfEdits returns the encoded size in bytes of the edits of a change.
func sizeOfEdits(change *wire.ChangeRecord) int {
	size := 0
	for _, back := range change.GetBack() {
		size += proto.Size(back)
	}
	return size
}

// list returns changes without their edits, newest first.
func (h *history) list(c *wire.HistoryCommand) []*wire.ChangeRecord {
	limit := int(c.GetLimit())
	if limit == 0 {
		limit = defaultListedChanges
	}
	var changes []*wire.ChangeRecord
	for i := len(h.changes) - 1; i >= 0 && len(changes) < min(limit, maxListedChanges); i-- {
		if c.GetBefore() != 0 && h.changes[i].GetRevision() >= c.GetBefore() {
			continue
		}
		change := proto.CloneOf(h.changes[i])
		change.Back = nil
		changes = append(changes, change)
	}
	return changes
}

// describeSince describes what changed in a section after a base revision, or in the
// whole document if section is empty.
func (h *history) describeSince(section redwingshunt.Section, base, revision uint64) string {
	var text strings.Builder
	name := "the document"
	if section != "" {
		name = "section " + string(section)
	}
	fmt.Fprintf(&text, "%s is at revision %d and the base is %d", name, revision, base)
	described := 0
	for i := len(h.changes) - 1; i >= 0 && h.changes[i].GetRevision() > base && described < maxConflictChanges; i-- {
		change := h.changes[i]
		if section != "" && !mayModify(change, section) {
			continue
		}
		at := time.Unix(0, change.GetAt()).UTC().Format(time.RFC3339)
		fmt.Fprintf(&text, "; revision %d by team %s at %s, submission %s", change.GetRevision(), change.GetTeam(), at, change.GetId())
		described++
	}
	return text.String()
}

// mayModify reports whether a change modified the section, or may have done so as
// its edits were dropped.
func mayModify(change *wire.ChangeRecord, section redwingshunt.Section) bool {
	if change.GetSection() != "" {
		return change.GetSection() == string(section)
	}
	for _, back := range change.GetBack() {
		if back.GetSection() == string(section) {
			return true
		}
	}
	return len(change.GetBack()) == 0
}

// text returns the text of a section, or of the whole document, at a revision.
func (r *Registrar) text(c *wire.TextCommand) *wire.RegistrarReply {
	revision := c.GetRevision()
	if revision == 0 {
		revision = uint64(r.state.Revision)
	}
	if revision > uint64(r.state.Revision) {
		return &wire.RegistrarReply{Error: fmt.Sprintf("there is no revision %d; the newest is %d", revision, r.state.Revision)}
	}
	if revision < r.history.oldestText {
		return &wire.RegistrarReply{Error: fmt.Sprintf("the text of revision %d is not kept any more; the oldest is of %d", revision, r.history.oldestText)}
	}
	parts := r.state.Parts
	for i := len(r.history.changes) - 1; i >= 0 && r.history.changes[i].GetRevision() > revision; i-- {
		for _, back := range r.history.changes[i].GetBack() {
			section := redwingshunt.Section(back.GetSection())
			text, err := merger.Apply(merger.Find(parts, section).Text, back.GetEdit())
			if err != nil {
				return &wire.RegistrarReply{Error: err.Error()}
			}
			parts = merger.Put(parts, merger.Part{Section: section, Revision: redwingshunt.Revision(back.GetRevision()), Text: text})
		}
	}
	if c.GetSection() == "" {
		return &wire.RegistrarReply{Text: merger.Join(parts), Revision: revision}
	}
	part := merger.Find(parts, redwingshunt.Section(c.GetSection()))
	return &wire.RegistrarReply{Text: part.Text, Revision: uint64(part.Revision)}
}
