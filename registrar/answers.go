package registrar

import (
	"time"

	"github.com/redwingshunt/redwingshunt/wire"
)

// answers stores the first answer to each submission, oldest first.
type answers struct {
	queue []*wire.SubmissionRecord
	byID  map[string]*wire.SubmissionRecord
}

func newAnswers() answers {
	return answers{byID: make(map[string]*wire.SubmissionRecord)}
}

// find returns the answer to a submission ID, or nil.
func (a *answers) find(id string) *wire.SubmissionRecord { return a.byID[id] }

// add stores an answer and drops those that have expired or exceed MaxAnswers.
// It stores none for a submission without a valid ID.
func (a *answers) add(c *wire.SubmitCommand, receipt *wire.ReceiptRecord, now time.Time) {
	if c.GetId() == "" || len(c.GetId()) > MaxIDBytes {
		return
	}
	a.put(&wire.SubmissionRecord{
		Id: c.GetId(), Team: c.GetTeam(), Section: c.GetSection(), Base: c.GetBase(),
		Digest: c.GetDigest(), At: now.UnixNano(), Receipt: receipt,
	})
	for len(a.queue) > 0 && a.expired(a.queue[0], now) {
		delete(a.byID, a.queue[0].GetId())
		a.queue = a.queue[1:]
	}
}

func (a *answers) put(record *wire.SubmissionRecord) {
	a.queue = append(a.queue, record)
	a.byID[record.GetId()] = record
}

func (a *answers) expired(record *wire.SubmissionRecord, now time.Time) bool {
	return len(a.queue) > MaxAnswers || now.Sub(time.Unix(0, record.GetAt())) > AnswerRetention
}
