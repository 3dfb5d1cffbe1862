package registrar

import (
	"bytes"
	"fmt"
	"reflect"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/merger"
	"github.com/redwingshunt/redwingshunt/wire"
)

// submit handles a submission, and returns the first answer again if it is
// resent.
func (r *Registrar) submit(c *wire.SubmitCommand, at time.Time) *wire.ReceiptRecord {
	if first := r.answers.find(c.GetId()); first != nil {
		return repeatedAnswer(first, c)
	}
	receipt, next := r.evaluate(c, at)
	if c.GetDry() {
		receipt.Accepted = false
		return receipt
	}
	if next != nil {
		r.history.add(newChange(c, r.state, *next))
		r.accept(*next)
	}
	r.answers.add(c, receipt, r.clock)
	return receipt
}

// repeatedAnswer returns the stored answer to a resent submission, or a refusal
// if the ID was used for another submission.
func repeatedAnswer(first *wire.SubmissionRecord, c *wire.SubmitCommand) *wire.ReceiptRecord {
	same := first.GetTeam() == c.GetTeam() && first.GetSection() == c.GetSection() &&
		first.GetBase() == c.GetBase() && bytes.Equal(first.GetDigest(), c.GetDigest())
	if !same {
		return refusal(first.GetReceipt().GetRevision(), c, "the submission ID was used for another submission; choose a new one")
	}
	receipt := proto.CloneOf(first.GetReceipt())
	receipt.Repeated = true
	return receipt
}

// refusal returns a receipt that refuses a submission, with text as its only
// finding.
func refusal(revision uint64, c *wire.SubmitCommand, text string) *wire.ReceiptRecord {
	return &wire.ReceiptRecord{
		Revision: revision,
		Section:  c.GetSection(),
		Findings: []*wire.FindingRecord{{File: "-", Text: text}},
	}
}

// evaluate checks a submission without changing the registrar's state. The
// returned state is nil if the submission is refused or changes nothing.
func (r *Registrar) evaluate(c *wire.SubmitCommand, at time.Time) (*wire.ReceiptRecord, *State) {
	section := redwingshunt.Section(c.GetSection())
	current := uint64(r.state.Revision)
	if text := r.checkForm(c); text != "" {
		return refusal(current, c, text), nil
	}
	if text := r.forbiddenReason(c, section); text != "" {
		return refusal(current, c, text), nil
	}
	if conflict := r.conflict(section, c.GetBase()); conflict != "" {
		return &wire.ReceiptRecord{Revision: current, Section: c.GetSection(), Conflict: conflict}, nil
	}
	text, err := r.submittedText(c, section)
	if err != nil {
		return refusal(current, c, "the change cannot be applied: "+err.Error()), nil
	}
	next, findings := r.merge(section, text)
	if len(findings) == 0 {
		findings = r.checkMerged(c, next)
	}
	if len(findings) > 0 {
		return &wire.ReceiptRecord{Revision: current, Section: c.GetSection(), Findings: encodeFindings(findings)}, nil
	}
	if len(changedSections(r.state.Parts, next.Parts)) == 0 {
		return &wire.ReceiptRecord{Accepted: true, Revision: current, Section: c.GetSection()}, nil
	}
	r.assignRevisions(next, at)
	return &wire.ReceiptRecord{Accepted: true, Revision: uint64(next.Revision), Section: c.GetSection()}, next
}

// checkForm checks a command regardless of the text of the section. It returns
// what is wrong, or "".
func (r *Registrar) checkForm(c *wire.SubmitCommand) string {
	switch {
	case c.GetId() == "" || len(c.GetId()) > MaxIDBytes:
		return fmt.Sprintf("the submission ID must have 1 to %d bytes", MaxIDBytes)
	case len(c.GetText()) > MaxTextBytes:
		return fmt.Sprintf("the text must have at most %d bytes", MaxTextBytes)
	case len(r.wholeText()) > 0:
		return "the document is kept as a whole and changed under the highest-version rule only"
	case c.GetSection() != "" && !isSection(redwingshunt.Section(c.GetSection())):
		return fmt.Sprintf("there is no section %q", c.GetSection())
	}
	return ""
}

func isSection(section redwingshunt.Section) bool {
	for _, s := range redwingshunt.Sections() {
		if s == section {
			return true
		}
	}
	return false
}

// conflict describes what changed since the base of a submission, or
// returns "" if the base is current.
func (r *Registrar) conflict(section redwingshunt.Section, base uint64) string {
	revision := uint64(r.state.Revision)
	if section != "" {
		revision = uint64(merger.Find(r.state.Parts, section).Revision)
	}
	if base == revision {
		return ""
	}
	return r.history.describeSince(section, base, revision)
}

// submittedText returns the submitted text, with the submitted edit applied if
// there is one.
func (r *Registrar) submittedText(c *wire.SubmitCommand, section redwingshunt.Section) ([]byte, error) {
	if c.GetEdit() == nil {
		return c.GetText(), nil
	}
	return merger.Apply(merger.Find(r.state.Parts, section).Text, c.GetEdit())
}

// merge returns the state with the submitted text merged in, without revisions.
// The joined parts must parse to the same document, because other instances and
// a restarted one parse the joined text.
func (r *Registrar) merge(section redwingshunt.Section, text []byte) (*State, redwingshunt.Findings) {
	document, parts, findings := r.parseSubmission(section, text)
	if len(findings) > 0 {
		return nil, findings
	}
	for _, part := range parts {
		if merger.HasDocumentMarker(part.Text) {
			return nil, redwingshunt.Findings{{File: "-", Path: string(part.Section), Text: "the marks --- and ... may not be used within the document"}}
		}
	}
	joined, findings := r.options.Document("-", merger.Join(parts))
	if len(findings) > 0 || !reflect.DeepEqual(document, joined) || section == "" && !r.partsAreSeparate(document, parts) {
		return nil, redwingshunt.Findings{{File: "-", Text: "the key of each section must stand at the beginning of a line"}}
	}
	return &State{Document: document, Parts: parts}, nil
}

// partsAreSeparate reports whether each part has only its own section.
func (r *Registrar) partsAreSeparate(document *redwingshunt.Document, parts []merger.Part) bool {
	for _, part := range parts {
		merged, findings := r.options.Section("-", part.Section, part.Text, document)
		if len(findings) > 0 || !reflect.DeepEqual(document, merged) {
			return false
		}
	}
	return true
}

// parseSubmission parses a submitted text and returns the merged document and its
// parts.
func (r *Registrar) parseSubmission(section redwingshunt.Section, text []byte) (*redwingshunt.Document, []merger.Part, redwingshunt.Findings) {
	if section == "" {
		document, findings := r.options.Document("-", text)
		return document, merger.Split(text), findings
	}
	document, findings := r.options.Section("-", section, text, r.state.Document)
	part := merger.Part{Section: section, Text: merger.Normalize(text)}
	return document, merger.Put(r.state.Parts, part), findings
}

// assignRevisions assigns the next revision to a state and to its parts that
// differ from the current state. A removed section stays as an empty part with a
// revision.
func (r *Registrar) assignRevisions(next *State, at time.Time) {
	next.Revision = r.state.Revision + 1
	next.At = at
	for i, part := range next.Parts {
		before := merger.Find(r.state.Parts, part.Section)
		next.Parts[i].Revision = before.Revision
		if !bytes.Equal(before.Text, part.Text) || before.Revision == 0 {
			next.Parts[i].Revision = next.Revision
		}
	}
	for _, before := range r.state.Parts {
		if merger.Find(next.Parts, before.Section).Revision == 0 { // removed
			removed := merger.Part{Section: before.Section, Revision: before.Revision}
			if len(before.Text) > 0 {
				removed.Revision = next.Revision
			}
			next.Parts = merger.Put(next.Parts, removed)
		}
	}
}

// changedSections returns the sections whose texts differ, in document order.
func changedSections(before, after []merger.Part) []redwingshunt.Section {
	var sections []redwingshunt.Section
	for _, section := range append(redwingshunt.Sections(), redwingshunt.SectionWhole) {
		if !bytes.Equal(merger.Find(before, section).Text, merger.Find(after, section).Text) {
			sections = append(sections, section)
		}
	}
	return sections
}
