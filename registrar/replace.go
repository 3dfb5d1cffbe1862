package registrar

// Changes of the whole document under the rule that the highest version is in
// force. The document orders itself, so that a change may arrive late, twice or
// beside others, and the outcome is the same.

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/merger"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Replace encodes a change of the whole document.
func Replace(at time.Time, text []byte) ([]byte, error) {
	if len(text) > MaxText {
		return nil, trace.LimitExceeded("the text has %d bytes, at most %d are allowed", len(text), MaxText)
	}
	c := &wire.ReplaceCommand{Text: text}
	return encode(at, &wire.RegistrarCommand{Command: &wire.RegistrarCommand_Replace{Replace: c}})
}

// Replaced decodes the answer to a change of the whole document.
func Replaced(reply *wire.RegistrarReply) redwingshunt.Replacement {
	return redwingshunt.Replacement{
		Findings: Receipt(reply.GetReceipt()).Findings,
		Version:  reply.GetVersion(),
	}
}

// replace puts a document in force unless it is invalid or a version at least
// as high is in force.
func (r *Registrar) replace(c *wire.ReplaceCommand, at time.Time) *wire.RegistrarReply {
	document, findings := r.options.Document("-", c.GetText())
	if len(findings) == 0 && r.state.Revision != 0 && len(r.wholeText()) == 0 {
		findings = redwingshunt.Findings{{File: "-", Text: "the document is kept in sections; submit those"}}
	}
	if len(findings) == 0 && document.Version == 0 {
		findings = redwingshunt.Findings{{File: "-", Text: "the document has no version"}}
	}
	if len(findings) > 0 {
		return r.replaced(&wire.ReceiptRecord{Findings: encodeFindings(findings)})
	}
	if document.Version <= r.version() {
		return r.replaced(&wire.ReceiptRecord{Accepted: true, Repeated: true})
	}
	part := merger.Part{Section: redwingshunt.SectionWhole, Text: c.GetText()}
	next := State{Document: document, Parts: []merger.Part{part}}
	r.number(&next, at)
	r.history.add(changeOf(&wire.SubmitCommand{Section: string(redwingshunt.SectionWhole)}, r.state, next))
	r.accept(next)
	return r.replaced(&wire.ReceiptRecord{Accepted: true})
}

func (r *Registrar) replaced(receipt *wire.ReceiptRecord) *wire.RegistrarReply {
	receipt.Revision = uint64(r.state.Revision)
	return &wire.RegistrarReply{Receipt: receipt, Version: r.version()}
}

// version returns the version of the document in force, zero without one.
func (r *Registrar) version() uint64 {
	if r.state.Document == nil {
		return 0
	}
	return r.state.Document.Version
}

// wholeText returns the text of a document that is kept as a whole.
func (r *Registrar) wholeText() []byte {
	return merger.Find(r.state.Parts, redwingshunt.SectionWhole).Text
}
