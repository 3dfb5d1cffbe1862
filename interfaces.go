package redwingshunt

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"time"
)

// Clock tells the time to the shell around the decision packages.
type Clock interface {
	Now() time.Time
}

// Message travels between two instances. Payload is a Protocol Buffers message
// of package wire that belongs to the kind.
type Message struct {
	Kind    MessageKind
	Payload []byte
}

// MessageKind is the type of a message between instances. Traffic is counted
// by kind.
type MessageKind uint8

// The kinds of message between instances.
const (
	KindHeartbeat  MessageKind = iota + 1 // acknowledgements, by which a link knows that it lives
	KindMembership                        // who is alive
	KindAnnounce                          // an upstream announced, renewed or left
	KindDemand                            // a router's queued work to the owner of a service
	KindGrant                             // slots of upstreams to a router
	KindCharge                            // service received, and slots given back
	KindLedger                            // service counters between owners
	KindLog                               // replication of the log
	KindSubmit                            // a proposal to the leader of the log
	KindPublish                           // configuration outward
	KindDigest                            // revision in force
	KindSuspect                           // fingerprints of suspect requests
	KindClaim                             // claims of non-idempotent requests
	KindSurvey                            // questions for the revision in force
	KindRoll                              // upstreams that announced themselves, to all instances
	KindLoad                              // work that routers have with upstreams
	KindLoadSum                           // the same of all other routers together
	KindEnd                               // one past the last kind
)

// String returns the name that metrics and dumps use.
func (k MessageKind) String() string {
	names := [...]string{
		"unknown", "heartbeat", "membership", "announce", "demand", "grant", "charge",
		"ledger", "log", "submit", "publish", "digest", "suspect", "claim", "survey",
		"roll", "load", "load-sum",
	}
	if int(k) >= len(names) {
		return names[0]
	}
	return names[k]
}

// Link carries messages between instances. Delivery is best effort: a message
// may be lost, doubled or reordered after a reconnection.
type Link interface {
	// Send queues a message for an instance and never blocks.
	Send(to InstanceID, m Message)
	// Handle registers the receiver of one kind; it must return quickly.
	Handle(kind MessageKind, receive func(from InstanceID, payload []byte))
}

// Members is the current view of the fleet.
type Members interface {
	// Self returns this instance.
	Self() Instance
	// Live returns all live instances, this one among them, ordered by ID.
	Live() []Instance
}

// Configuration hands out the configuration in force.
type Configuration interface {
	// Current returns the newest snapshot, or nil when there is none yet.
	Current() *Snapshot
	// Watch returns a channel that is closed when Current has changed.
	Watch() <-chan struct{}
}

// Submission asks for a change of one section or, with Section empty, of all.
type Submission struct {
	ID      string   // chosen by the submitter; a resend has the same
	Team    TeamID   // who asks, as authenticated by the instance that took it
	Section Section  // empty for the whole document
	Base    Revision // revision of the section that the change starts from
	Text    []byte   // YAML
	DryRun  bool
}

// Receipt answers a submission.
type Receipt struct {
	Accepted bool     `json:"accepted"`
	Revision Revision `json:"revision"` // of the accepted change, or in force when refused
	Section  Section  `json:"section,omitempty"`
	Repeated bool     `json:"repeated"` // the answer of an earlier submission with this ID
	Findings Findings `json:"findings,omitempty"`
	Conflict string   `json:"conflict,omitempty"` // what changed since Base
}

// Submitter commits changes of the document.
type Submitter interface {
	// Submit returns once the change is committed by a quorum or refused.
	Submit(ctx context.Context, s Submission) (Receipt, error)
}

// Fingerprint identifies the content of a request: account, service, method,
// path and body.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a body and of what names the request
// besides it.
func NewFingerprint(body []byte, names ...string) Fingerprint {
	hash := sha256.New()
	for _, name := range names {
		_, _ = io.WriteString(hash, name) // never fails
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(body)
	return Fingerprint(hash.Sum(nil)[:len(Fingerprint{})])
}

// Request is a classified request on its way to an upstream.
type Request struct {
	ID          string // unique in the fleet; checked at both ends
	Account     AccountID
	Service     ServiceID
	Method      string
	Path        string // path and query as the upstream sees them
	Header      http.Header
	Body        []byte
	Stream      bool // the caller asked for server-sent events
	Once        bool // runs at most once
	Key         string
	Fingerprint Fingerprint
	Estimate    Cost
	Deadline    time.Time
}

// Grant allows one request to run on one upstream.
type Grant struct {
	ID       uint64
	Service  ServiceID
	Account  AccountID
	Upstream Upstream
	Owner    InstanceID // who counts the slot
}

// Result tells how an attempt on an upstream ended.
type Result struct {
	Cost  Cost          // service received, as far as known
	First time.Duration // dispatch to first byte
	Total time.Duration
	Lost  bool // the upstream failed or went silent
}

// Scheduler decides when a request runs and on which upstream.
type Scheduler interface {
	// Acquire waits for a grant. Upstreams in avoid are not granted unless
	// there is no other.
	Acquire(ctx context.Context, r *Request, avoid Set[UpstreamID]) (Grant, error)
	// Charge adds service that a running request has received so far.
	Charge(g Grant, delta Cost)
	// Release gives the slot back; r.Cost is the whole cost of the attempt.
	Release(g Grant, r Result)
}

// Directory takes announcements of upstreams.
type Directory interface {
	// Announce adds or renews an upstream for the given time.
	Announce(u Upstream, load LoadReport, ttl time.Duration)
	// Leave stops new work for an upstream at once.
	Leave(key UpstreamKey)
}

// ClaimState is what is known of an idempotency key.
type ClaimState string

// The states of a claim.
const (
	ClaimGranted     ClaimState = "granted"     // this caller may run the request now
	ClaimInProgress  ClaimState = "in-progress" // another run holds the key
	ClaimAnswered    ClaimState = "answered"    // the kept answer is returned
	ClaimInterrupted ClaimState = "interrupted" // the run was lost; it may have run
	ClaimConflict    ClaimState = "conflict"    // the key was used with another body
)

// Answer is a whole answer as kept for replay.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// ClaimResult answers a claim. Answer is set when State is ClaimAnswered, but
// for an answer that is not kept.
type ClaimResult struct {
	State  ClaimState
	Answer *Answer
}

// Claimer makes non-idempotent requests run at most once.
type Claimer interface {
	// Claim commits the key of r by a quorum before any byte leaves.
	Claim(ctx context.Context, r *Request) (ClaimResult, error)
	// Finish keeps the answer of a granted claim. A nil answer notes that the
	// run ended without one and may have run.
	Finish(ctx context.Context, r *Request, a *Answer) error
	// Abandon ends a granted claim of which no upstream saw a byte.
	Abandon(ctx context.Context, r *Request) error
}

// Suspects remembers requests during which upstreams died.
type Suspects interface {
	// Admit waits until the request may run, or returns an OutcomeError that
	// says not run. After nil, one of Lost, Completed and Ended follows.
	Admit(ctx context.Context, f Fingerprint) error
	// Lost notes that an upstream died while it ran the request.
	Lost(f Fingerprint, u UpstreamKey)
	// Completed notes that the request ended well.
	Completed(f Fingerprint)
	// Ended notes that the run ended and says nothing about the request.
	Ended(f Fingerprint)
}

// Dumper is a part of a process that shows its state on request.
type Dumper interface {
	// Dump returns a value for encoding/json, bounded in size.
	Dump() any
}
