package registrar

// This file implements changes of the whole document under the rule that the
// document with the highest version is in force. As the version determines the
// order, late, repeated or concurrent changes lead to the same result.

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/merger"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Replace encodes a change of the whole document. It returns an error if the text
// has more than MaxTextBytes bytes.
func Replace(at time.Time, text []byte) ([]byte, error) {
	if len(text) > MaxTextBytes {
		return nil, trace.LimitExceeded("the text has %d bytes, at most %d are allowed", len(text), MaxTextBytes)
	}
	c := &wire.ReplaceCommand{Text: text}
	return encode(at, &wire.RegistrarCommand{Command: &wire.RegistrarCommand_Replace{Replace: c}})
}

// Replaced decodes the reply to a change of the whole document.
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
		return r.replaceReply(&wire.ReceiptRecord{Findings: encodeFindings(findings)})
	}
	if document.Version <= r.version() {
		return r.replaceReply(&wire.ReceiptRecord{Accepted: true, Repeated: true})
	}
	part := merger.Part{Section: redwingshunt.SectionWhole, Text: c.GetText()}
	next := State{Document: document, Parts: []merger.Part{part}}
	r.assignRevisions(&next, at)
	r.history.add(newChange(&wire.SubmitCommand{Section: string(redwingshunt.SectionWhole)}, r.state, next))
	r.accept(next)
	return r.replaceReply(&wire.ReceiptRecord{Accepted: true})
}

func (r *Registrar) replaceReply(receipt *wire.ReceiptRecord) *wire.RegistrarReply {
	receipt.Revision = uint64(r.state.Revision)
	return &wire.RegistrarReply{Receipt: receipt, Version: r.version()}
}

// version returns the version of the document in force, or zero if there is none.
func (r *Registrar) version() uint64 {
	if r.state.Document == nil {
		return 0
	}
	return r.state.Document.Version
}

// wholeText returns the text of a document that is stored as a whole, or nothing
// if the document is stored in sections.
func (r *Registrar) wholeText() []byte {
	return merger.Find(r.state.Parts, redwingshunt.SectionWhole).Text
}
