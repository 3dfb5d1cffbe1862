package correlator

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/attributor"
	"github.com/redwingshunt/redwingshunt/wire"
)

// maxLossParts bounds the parts of a received loss.
const maxLossParts = 64

// encode returns the wire form of notices. Times are sent as ages, because the clocks
// of instances differ.
func encode(now time.Time, n notices) *wire.PartNotices {
	m := &wire.PartNotices{}
	for _, l := range n.losses {
		w := &wire.PartLoss{
			Service: string(l.Upstream.Service), Account: string(l.Prompt.Account), Upstream: string(l.Upstream.ID),
			Request: l.Request[:], Progress: wire.PartProgress(l.Progress + 1),
			AgeMs: now.Sub(l.At).Milliseconds(),
		}
		for _, part := range l.Prompt.Parts {
			w.Parts = append(w.Parts, []byte(part))
		}
		for _, answered := range l.Answered {
			w.Answers = append(w.Answers, encodeAnswer(now, answered))
		}
		m.Losses = append(m.Losses, w)
	}
	for _, answered := range n.answers {
		m.Answers = append(m.Answers, encodeAnswer(now, answered))
	}
	for _, v := range n.verdicts {
		m.Verdicts = append(m.Verdicts, &wire.PartVerdict{
			Key: encodeKey(v.Key), State: wire.PartState(v.State + 1), AgeMs: now.Sub(v.Since).Milliseconds(),
			RemainingMs: max(0, v.Expires.Sub(now).Milliseconds()),
			Upstreams:   uint32(v.Upstreams), Requests: uint32(v.Requests),
		})
	}
	return m
}

func encodeKey(key attributor.Key) *wire.PartKey {
	return &wire.PartKey{Service: string(key.Service), Account: string(key.Account), Part: []byte(key.Part)}
}

func encodeAnswer(now time.Time, a attributor.Answered) *wire.PartAnswer {
	return &wire.PartAnswer{Key: encodeKey(a.Key), AgeMs: now.Sub(a.At).Milliseconds()}
}

// decode returns the notices of a message from another instance. It leaves out
// malformed ones.
func decode(now time.Time, m *wire.PartNotices) notices {
	var n notices
	for _, w := range m.GetLosses() {
		if len(w.GetRequest()) != len(redwingshunt.Fingerprint{}) || len(w.GetParts()) > maxLossParts {
			continue
		}
		service := redwingshunt.ServiceID(w.GetService())
		l := attributor.Loss{
			Upstream: redwingshunt.UpstreamKey{Service: service, ID: redwingshunt.UpstreamID(w.GetUpstream())},
			Request:  redwingshunt.Fingerprint(w.GetRequest()),
			Prompt: redwingshunt.SharedPrompt{
				Service: service, Account: redwingshunt.AccountID(w.GetAccount()),
			},
			Progress: progressOf(w.GetProgress()), At: before(now, w.GetAgeMs()),
		}
		for _, part := range w.GetParts() {
			l.Prompt.Parts = append(l.Prompt.Parts, string(part))
		}
		for _, answer := range w.GetAnswers() {
			l.Answered = append(l.Answered, decodeAnswer(now, answer))
		}
		n.losses = append(n.losses, l)
	}
	for _, w := range m.GetAnswers() {
		n.answers = append(n.answers, decodeAnswer(now, w))
	}
	for _, w := range m.GetVerdicts() {
		if w.GetState() < wire.PartState_PART_STATE_CLEARED || w.GetState() > wire.PartState_PART_STATE_REFUSED {
			continue
		}
		n.verdicts = append(n.verdicts, attributor.Verdict{
			Key: decodeKey(w.GetKey()), State: attributor.State(w.GetState() - 1), Since: before(now, w.GetAgeMs()),
			Expires:   now.Add(time.Duration(w.GetRemainingMs()) * time.Millisecond),
			Upstreams: int(w.GetUpstreams()), Requests: int(w.GetRequests()),
		})
	}
	return n
}

func decodeKey(key *wire.PartKey) attributor.Key {
	return attributor.Key{
		Service: redwingshunt.ServiceID(key.GetService()), Account: redwingshunt.AccountID(key.GetAccount()), Part: string(key.GetPart()),
	}
}

func decodeAnswer(now time.Time, w *wire.PartAnswer) attributor.Answered {
	return attributor.Answered{Key: decodeKey(w.GetKey()), At: before(now, w.GetAgeMs())}
}

// progressOf returns the progress for its wire form, LostBeforeHeader for an unknown
// one.
func progressOf(p wire.PartProgress) redwingshunt.LossProgress {
	switch p {
	case wire.PartProgress_PART_PROGRESS_EVENT:
		return redwingshunt.LostAfterEvent
	case wire.PartProgress_PART_PROGRESS_HEADER:
		return redwingshunt.LostAfterHeader
	}
	return redwingshunt.LostBeforeHeader
}

// before returns the time that was a number of milliseconds ago.
func before(now time.Time, ageMs int64) time.Time {
	return now.Add(-time.Duration(max(0, ageMs)) * time.Millisecond)
}
