// Package attributor decides which part of a prompt makes upstreams die.
//
// Requests that share one part may end each upstream that begins to answer them,
// although no two of them are alike. A single loss does not tell which of the
// requests on the upstream caused it, and which of their parts. Several losses do:
// the part that they have in common and that no answered request has.
//
//   - A Guard runs on each instance. It remembers which parts were in answered
//     requests, and refuses requests with a refused part.
//   - A Collector receives the losses of all instances and announces a Verdict on
//     a part: first Suspected, upon which each Guard reports answered requests with
//     it, then Refused, or Cleared if there were any.
//
// Evidence counts only if it is of one client account: what an account names does
// not count against the parts of another one. For a part that is refused for an account
// already, one loss of another account suffices.
//
// A refused part explains the losses of all upstreams on which a request with it
// ran, so they count against no other part. A verdict expires after refusalPeriod. The
// losses are kept longer, so that the part is refused again after one more.
//
// Upstreams that fall silent, or die while nothing begins on them, count little or
// not at all: their cause lies elsewhere. All state is bounded.
//
// # Usage
//
//	guard, collector := attributor.NewGuard(), attributor.NewCollector()
//	if v := guard.Check(now, prompt); v.State == attributor.Refused {
//		return redwingshunt.ReasonSuspect
//	}
//	report(guard.Answered(now, prompt, began)) // to the collector: collector.Answered
//	collector.Lost(now, loss)           // of any instance
//	for _, v := range collector.Judge(now) {
//		broadcast(v) // to each instance: report(guard.Apply(now, v))
//	}
package attributor

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// refusalPeriod is how long a part is refused after the loss that led to it.
	refusalPeriod = 10 * time.Minute
	// lossRetention is how long a loss counts.
	lossRetention = time.Hour
	// maxVerdicts bounds the verdicts kept by a Guard or a Collector.
	maxVerdicts = 1024
	// maxPartBytes is the length in bytes up to which the identifier of a part is its
	// name; of a longer one its digest is.
	maxPartBytes = 64
)

// Key names a part of the prompts of one client account.
type Key struct {
	Service redwingshunt.ServiceID
	Account redwingshunt.AccountID
	Part    string
}

// compare orders keys.
func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Service, other.Service), cmp.Compare(k.Account, other.Account), cmp.Compare(k.Part, other.Part))
}

// keysOf returns the keys of the parts of a prompt.
func keysOf(p redwingshunt.SharedPrompt) []Key {
	keys := make([]Key, 0, len(p.Parts))
	for _, part := range p.Parts {
		keys = append(keys, Key{Service: p.Service, Account: p.Account, Part: NameOf(part)})
	}
	return keys
}

// NameOf returns the name under which a part is known: its identifier, or a digest of
// a long one. The name of a name is the same.
func NameOf(part string) string {
	if len(part) <= maxPartBytes {
		return part
	}
	digest := sha256.Sum256([]byte(part))
	return "sha256:" + hex.EncodeToString(digest[:16])
}

// Answered says that a request with a part was answered.
type Answered struct {
	Key Key
	At  time.Time // when the response began
}

// Loss is the loss of an upstream while it ran one request.
type Loss struct {
	Upstream redwingshunt.UpstreamKey
	Request  redwingshunt.Fingerprint
	Prompt   redwingshunt.SharedPrompt
	Progress redwingshunt.LossProgress
	// Answered holds those answered requests with a part of the prompt that the
	// instance knows of.
	Answered []Answered
	At       time.Time
}

// State is the state of a part.
type State int

// The states of a part. A part without a verdict is Cleared.
const (
	Cleared   State = iota
	Suspected       // answered requests with it are to be reported
	Refused         // requests with it are refused
)

// Verdict is the state of a part from now on.
type Verdict struct {
	Key     Key
	State   State
	Since   time.Time // of the first loss that counts against the part
	Expires time.Time // of a refusal
	// The evidence, for logs: upstreams lost, and different requests lost with them,
	// of which up to maxCountedRequests are counted.
	Upstreams, Requests int
}

// String returns the name of a state in logs.
func (s State) String() string {
	names := [...]string{"cleared", "suspected", "refused"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}
