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
	defaultList = 100 // changes in one answer, when none is asked for
	maxList     = 1000
	maxConflict = 5 // changes named in a conflict
)

// history keeps the accepted changes, oldest first, with edits back to the
// texts before them.
type history struct {
	changes []*wire.ChangeRecord
	bytes   int    // of the edits kept
	bare    int    // changes at the beginning that have no edits any more
	floor   uint64 // oldest revision of which the texts can be told
}

// changeOf describes the step from one state to the next.
func changeOf(c *wire.SubmitCommand, before, after State) *wire.ChangeRecord {
	change := &wire.ChangeRecord{
		Revision: uint64(after.Revision),
		Section:  c.GetSection(),
		Team:     c.GetTeam(),
		At:       after.At.UnixNano(),
		Id:       c.GetId(),
	}
	for _, section := range changed(before.Parts, after.Parts) {
		old, next := merger.Find(before.Parts, section), merger.Find(after.Parts, section)
		change.Size += uint32(len(next.Text))
		change.Back = append(change.Back, &wire.SectionEdit{
			Section:  string(section),
			Revision: uint64(old.Revision),
			Edit:     merger.Compare(next.Text, old.Text),
		})
	}
	return change
}

// add appends a change and drops what exceeds the bounds.
func (h *history) add(change *wire.ChangeRecord) {
	h.changes = append(h.changes, change)
	h.bytes += sizeOf(change)
	for h.bytes > MaxEdits && h.bare < len(h.changes) {
		h.strip()
	}
	for len(h.changes) > MaxChanges {
		if h.bare == 0 {
			h.strip()
		}
		h.changes = h.changes[1:]
		h.bare--
	}
}

// strip drops the edits of the oldest change that has any.
func (h *history) strip() {
	change := h.changes[h.bare]
	h.bytes -= sizeOf(change)
	h.floor = change.GetRevision()
	bare := proto.CloneOf(change)
	bare.Back = nil
	h.changes[h.bare] = bare
	h.bare++
}

// sizeOf returns the bytes that the edits of a change take.
func sizeOf(change *wire.ChangeRecord) int {
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
		limit = defaultList
	}
	var changes []*wire.ChangeRecord
	for i := len(h.changes) - 1; i >= 0 && len(changes) < min(limit, maxList); i-- {
		if c.GetBefore() != 0 && h.changes[i].GetRevision() >= c.GetBefore() {
			continue
		}
		change := proto.CloneOf(h.changes[i])
		change.Back = nil
		changes = append(changes, change)
	}
	return changes
}

// since tells what changed in a section, or in any, after a base revision.
func (h *history) since(section redwingshunt.Section, base, revision uint64) string {
	var text strings.Builder
	name := "the document"
	if section != "" {
		name = "section " + string(section)
	}
	fmt.Fprintf(&text, "%s is at revision %d and the base is %d", name, revision, base)
	named := 0
	for i := len(h.changes) - 1; i >= 0 && h.changes[i].GetRevision() > base && named < maxConflict; i-- {
		change := h.changes[i]
		if section != "" && !touches(change, section) {
			continue
		}
		at := time.Unix(0, change.GetAt()).UTC().Format(time.RFC3339)
		fmt.Fprintf(&text, "; revision %d by team %s at %s, submission %s", change.GetRevision(), change.GetTeam(), at, change.GetId())
		named++
	}
	return text.String()
}

// touches reports whether a change is of the section or may be.
func touches(change *wire.ChangeRecord, section redwingshunt.Section) bool {
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

// text answers with a section, or all, as it was at a revision.
func (r *Registrar) text(c *wire.TextCommand) *wire.RegistrarReply {
	revision := c.GetRevision()
	if revision == 0 {
		revision = uint64(r.state.Revision)
	}
	if revision > uint64(r.state.Revision) {
		return &wire.RegistrarReply{Error: fmt.Sprintf("there is no revision %d; the newest is %d", revision, r.state.Revision)}
	}
	if revision < r.history.floor {
		return &wire.RegistrarReply{Error: fmt.Sprintf("the text of revision %d is not kept any more; the oldest is of %d", revision, r.history.floor)}
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
