package registrar

import (
	"crypto/sha256"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/merger"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Submit encodes a submission. The key is the hash of the key that authenticated
// the team. If base, the text of the section at the base revision, is not nil,
// the command has only the difference to it.
func Submit(at time.Time, s redwingshunt.Submission, key redwingshunt.KeyHash, base []byte) ([]byte, error) {
	text := s.Text
	if s.Section != "" {
		text = merger.Normalize(text)
	}
	digest := sha256.Sum256(text)
	c := &wire.SubmitCommand{
		Id: s.ID, Team: string(s.Team), Key: string(key), Section: string(s.Section),
		Base: uint64(s.Base), Digest: digest[:], Dry: s.DryRun,
	}
	if base != nil && s.Section != "" {
		c.Edit = merger.Compare(base, text)
	} else {
		c.Text = text
	}
	return encode(at, &wire.RegistrarCommand{Command: &wire.RegistrarCommand_Submit{Submit: c}})
}

// Fence encodes a command that acquires or renews the lease of a name.
func Fence(at time.Time, name, holder string, lease time.Duration) ([]byte, error) {
	c := &wire.FenceCommand{Name: name, Holder: holder, Lease: int64(lease)}
	return encode(at, &wire.RegistrarCommand{Command: &wire.RegistrarCommand_Fence{Fence: c}})
}

// History encodes a command that lists at most limit accepted changes with
// revisions less than before. A limit of zero is the default, and a before of
// zero starts from the newest change.
func History(at time.Time, limit int, before redwingshunt.Revision) ([]byte, error) {
	c := &wire.HistoryCommand{Limit: uint32(max(limit, 0)), Before: uint64(before)}
	return encode(at, &wire.RegistrarCommand{Command: &wire.RegistrarCommand_History{History: c}})
}

// Text encodes a command that reads the text of a section at a revision. An
// empty section reads the whole document; revision zero is the newest.
func Text(at time.Time, section redwingshunt.Section, revision redwingshunt.Revision) ([]byte, error) {
	c := &wire.TextCommand{Section: string(section), Revision: uint64(revision)}
	return encode(at, &wire.RegistrarCommand{Command: &wire.RegistrarCommand_Text{Text: c}})
}

func encode(at time.Time, c *wire.RegistrarCommand) ([]byte, error) {
	c.At = at.UnixNano()
	command, err := proto.Marshal(c)
	return command, trace.Wrap(err)
}

// Reply decodes the result of Registrar.Apply. It returns the error in the
// reply, if any, as a BadParameter error.
func Reply(answer []byte) (*wire.RegistrarReply, error) {
	var reply wire.RegistrarReply
	if err := proto.Unmarshal(answer, &reply); err != nil {
		return nil, trace.Wrap(err)
	}
	if reply.GetError() != "" {
		return nil, trace.BadParameter("%s", reply.GetError())
	}
	return &reply, nil
}

// Receipt decodes the answer to a submission.
func Receipt(record *wire.ReceiptRecord) redwingshunt.Receipt {
	receipt := redwingshunt.Receipt{
		Accepted: record.GetAccepted(),
		Revision: redwingshunt.Revision(record.GetRevision()),
		Section:  redwingshunt.Section(record.GetSection()),
		Repeated: record.GetRepeated(),
		Conflict: record.GetConflict(),
	}
	for _, f := range record.GetFindings() {
		receipt.Findings = append(receipt.Findings, redwingshunt.Finding{
			File: f.GetFile(), Line: int(f.GetLine()), Column: int(f.GetColumn()), Path: f.GetPath(), Text: f.GetText(),
		})
	}
	return receipt
}

func encodeFindings(findings redwingshunt.Findings) []*wire.FindingRecord {
	var records []*wire.FindingRecord
	for _, f := range findings[:min(len(findings), maxFindings)] {
		records = append(records, &wire.FindingRecord{
			File: f.File, Line: uint32(f.Line), Column: uint32(f.Column), Path: validUTF8(f.Path), Text: validUTF8(f.Text),
		})
	}
	return records
}

// validUTF8 replaces invalid UTF-8 in text, because Protocol Buffers strings must
// be valid UTF-8.
func validUTF8(text string) string { return strings.ToValidUTF8(text, "\uFFFD") }
