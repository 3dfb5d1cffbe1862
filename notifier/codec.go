package notifier

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/quarantiner"
	"github.com/redwingshunt/redwingshunt/wire"
)

// encode returns the wire form of notices. Times are sent as ages, because the clocks
// of instances differ.
func encode(now time.Time, notices []quarantiner.Notice) *wire.SuspectNotices {
	m := &wire.SuspectNotices{}
	for _, n := range notices {
		w := &wire.SuspectNotice{
			Fingerprint: n.Fingerprint[:],
			Completed:   n.Completed,
			Phase:       wire.SuspectPhase(n.Phase + 1),
		}
		for _, l := range n.Losses {
			w.Losses = append(w.Losses, &wire.SuspectLoss{
				Id:       l.ID,
				Service:  string(l.Upstream.Service),
				Upstream: string(l.Upstream.ID),
				AgeMs:    now.Sub(l.At).Milliseconds(),
			})
		}
		m.Notices = append(m.Notices, w)
	}
	return m
}

// decode returns the notices of a message from another instance. It leaves out
// malformed ones.
func decode(now time.Time, m *wire.SuspectNotices) []quarantiner.Notice {
	var notices []quarantiner.Notice
	for _, w := range m.Notices {
		if len(w.Fingerprint) != len(redwingshunt.Fingerprint{}) {
			continue
		}
		n := quarantiner.Notice{
			Fingerprint: redwingshunt.Fingerprint(w.Fingerprint),
			Completed:   w.Completed,
			Phase:       phase(w.Phase),
		}
		for _, l := range w.Losses {
			n.Losses = append(n.Losses, quarantiner.Loss{
				ID: l.Id,
				Upstream: redwingshunt.UpstreamKey{
					Service: redwingshunt.ServiceID(l.Service),
					ID:      redwingshunt.UpstreamID(l.Upstream),
				},
				At: now.Add(-time.Duration(max(0, l.AgeMs)) * time.Millisecond),
			})
		}
		notices = append(notices, n)
	}
	return notices
}

// phase returns the phase for its wire form, Idle for an unknown one.
func phase(p wire.SuspectPhase) quarantiner.Phase {
	switch p {
	case wire.SuspectPhase_SUSPECT_PHASE_WAITING:
		return quarantiner.Waiting
	case wire.SuspectPhase_SUSPECT_PHASE_RUNNING:
		return quarantiner.Running
	}
	return quarantiner.Idle
}
