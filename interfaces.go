package redwingshunt

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"time"
)

// Clock supplies the time to code outside the deterministic decision packages.
type Clock interface {
	Now() time.Time
}

// Message is sent from one instance to another. Payload is the encoded Protocol
// Buffers message of package wire that corresponds to Kind.
type Message struct {
	Kind    MessageKind
	Payload []byte
}

// MessageKind is the type of a message between instances. Traffic metrics are
// labelled by kind.
type MessageKind uint8

// The kinds of message between instances.
const (
	KindHeartbeat  MessageKind = iota + 1 // acknowledgements, which show that a link is alive
	KindMembership                        // which instances are alive
	KindAnnounce                          // an upstream announced itself, renewed or left
	KindDemand                            // a router's backlog, to the owner of a service
	KindGrant                             // upstream slots granted to a router
	KindCharge                            // service consumed and slots released
	KindLedger                            // service counters, exchanged between owners
	KindLog                               // replication of the log
	KindSubmit                            // a proposal to the leader of the log
	KindPublish                           // distribution of the configuration
	KindDigest                            // revision in force
	KindSuspect                           // fingerprints of suspect requests
	KindClaim                             // claims of non-idempotent requests
	KindSurvey                            // queries for the revision in force
	KindRoll                              // announced upstreams, to all instances
	KindLoad                              // work that a router has outstanding at upstreams
	KindLoadSum                           // sum of the loads of all other routers
	KindParts                             // prompt parts with which upstreams die
	KindOrigin                            // where streams began
	KindEnd                               // number of kinds plus one; not a kind itself
)

// String returns the name of the kind in metrics and dumps.
func (k MessageKind) String() string {
	names := [...]string{
		"unknown", "heartbeat", "membership", "announce", "demand", "grant", "charge",
		"ledger", "log", "submit", "publish", "digest", "suspect", "claim", "survey",
		"roll", "load", "load-sum", "parts", "origin",
	}
	if int(k) >= len(names) {
		return names[0]
	}
	return names[k]
}

// Link sends messages between instances. Delivery is best effort: after a
// reconnection, messages may be lost, duplicated or reordered.
type Link interface {
	// Send queues a message for an instance and never blocks.
	Send(to InstanceID, m Message)
	// Handle registers the handler for messages of one kind. The handler must
	// not block.
	Handle(kind MessageKind, receive func(from InstanceID, payload []byte))
}

// Members is the current view of the fleet membership.
type Members interface {
	// Self returns this instance.
	Self() Instance
	// Live returns all live instances including this one, ordered by ID.
	Live() []Instance
}

// Configuration provides access to the configuration in force.
type Configuration interface {
	// Current returns the newest snapshot, or nil when there is none yet.
	Current() *Snapshot
	// Watch returns a channel that is closed when Current changes.
	Watch() <-chan struct{}
}

// Submission is a request to change one section or, if Section is empty, the
// whole document.
type Submission struct {
	ID      string   // chosen by the submitter; unchanged when it resends
	Team    TeamID   // submitting team, authenticated by the instance that received it
	Section Section  // empty for the whole document
	Base    Revision // revision of the section that the change is based on
	Text    []byte   // YAML
	DryRun  bool
}

// Receipt is the response to a submission.
type Receipt struct {
	Accepted bool     `json:"accepted"`
	Revision Revision `json:"revision"` // of the accepted change; if refused, the revision in force
	Section  Section  `json:"section,omitempty"`
	Repeated bool     `json:"repeated"` // this is the receipt of an earlier submission with the same ID
	Findings Findings `json:"findings,omitempty"`
	Conflict string   `json:"conflict,omitempty"` // what has changed since Base
}

// Submitter commits changes to the document.
type Submitter interface {
	// Submit returns once a quorum has committed the change or it is refused.
	Submit(ctx context.Context, s Submission) (Receipt, error)
}

// Fingerprint identifies the content of a request: account, service, method,
// path and body.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a body and the other identifying
// values of a request.
func NewFingerprint(body []byte, names ...string) Fingerprint {
	hash := sha256.New()
	for _, name := range names {
		_, _ = io.WriteString(hash, name) // never fails
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(body)
	return Fingerprint(hash.Sum(nil)[:len(Fingerprint{})])
}

// Request is a classified request that is to be sent to an upstream.
type Request struct {
	ID          string // unique in the fleet; the upstream echoes it and the router compares it
	Account     AccountID
	Service     ServiceID
	Method      string
	Path        string // path and query as sent to the upstream
	Header      http.Header
	Body        []byte
	Stream      bool // the caller requested server-sent events
	Once        bool // not idempotent: must run at most once
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
	Owner    InstanceID // instance that accounts for the slot
}

// Result is the outcome of an attempt on an upstream.
type Result struct {
	Cost  Cost          // service consumed, as far as known
	First time.Duration // dispatch to first byte
	Total time.Duration
	Lost  bool // the upstream failed or stopped responding
}

// Scheduler decides when a request runs and on which upstream.
type Scheduler interface {
	// Acquire blocks until a slot is granted. Upstreams in avoid are used only
	// if there is no other.
	Acquire(ctx context.Context, r *Request, avoid Set[UpstreamID]) (Grant, error)
	// Charge adds delta to the service that a running request has consumed.
	Charge(g Grant, delta Cost)
	// Release returns the slot; r.Cost is the total cost of the attempt.
	Release(g Grant, r Result)
}

// Directory registers upstreams that announce themselves.
type Directory interface {
	// Announce adds an upstream or renews it for ttl.
	Announce(u Upstream, load LoadReport, ttl time.Duration)
	// Leave immediately stops sending new requests to an upstream.
	Leave(key UpstreamKey)
}

// ClaimState is the state of an idempotency key.
type ClaimState string

// The states of a claim.
const (
	ClaimGranted     ClaimState = "granted"     // this caller may run the request now
	ClaimInProgress  ClaimState = "in-progress" // another execution holds the key
	ClaimAnswered    ClaimState = "answered"    // the stored response is returned
	ClaimInterrupted ClaimState = "interrupted" // the execution was lost; the request may have run
	ClaimConflict    ClaimState = "conflict"    // the key was used with a different body
)

// Answer is a complete response, stored for replay.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// ClaimResult is the result of a claim. Answer is set if State is ClaimAnswered
// and the response was stored.
type ClaimResult struct {
	State  ClaimState
	Answer *Answer
}

// Claimer ensures that a non-idempotent request runs at most once.
type Claimer interface {
	// Claim commits the key of r by a quorum. It is called before any byte is
	// sent to an upstream.
	Claim(ctx context.Context, r *Request) (ClaimResult, error)
	// Finish stores the response of a granted claim. A nil answer records that
	// the request ended without a response and may have run.
	Finish(ctx context.Context, r *Request, a *Answer) error
	// Abandon releases a granted claim whose request was not sent to any
	// upstream, not even in part.
	Abandon(ctx context.Context, r *Request) error
}

// Suspects tracks requests during which upstreams died.
type Suspects interface {
	// Admit blocks until the request may run, or returns an OutcomeError with
	// OutcomeNotRun. After a nil error the caller must call exactly one of Lost,
	// Completed and Ended.
	Admit(ctx context.Context, f Fingerprint) error
	// Suspected reports whether upstreams died while they ran the request.
	Suspected(f Fingerprint) bool
	// Lost records that an upstream died while it ran the request.
	Lost(f Fingerprint, u UpstreamKey)
	// Completed records that the request succeeded.
	Completed(f Fingerprint)
	// Ended records that the request ended without evidence for or against it.
	Ended(f Fingerprint)
}

// LossProgress is how much of the response had arrived when an upstream died with a
// request.
type LossProgress int

// The values of LossProgress.
const (
	LostBeforeHeader LossProgress = iota // no byte of the response had arrived
	LostAfterEvent                       // its first event had arrived just before
	LostAfterHeader                      // its header and no event had arrived
)

// String returns the name of a progress in logs.
func (p LossProgress) String() string {
	names := [...]string{"none", "event", "header"}
	if p < 0 || int(p) >= len(names) {
		return "unknown"
	}
	return names[p]
}

// PartGuard refuses requests with a prompt part with which upstreams die.
type PartGuard interface {
	// Check returns an OutcomeError with OutcomeNotRun if a part of the prompt is
	// refused, or nil.
	Check(p SharedPrompt) error
	// PartsLost records that an upstream died as it ran a request, before or just
	// after it began to respond.
	PartsLost(p SharedPrompt, f Fingerprint, u UpstreamKey, progress LossProgress)
	// PartsAnswered records that the response to a request began at a time and that
	// its upstream did not die of it.
	PartsAnswered(p SharedPrompt, began time.Time)
	// Watch sets the function that is called after a part has been refused. It is
	// called once, before the first request.
	Watch(refused func())
}

// Dumper is a component that can export its state for diagnostics.
type Dumper interface {
	// Dump returns a value of bounded size that encoding/json can encode.
	Dump() any
}

// Memory is a part of the memory of an instance that callers share. Implementations are
// safe for concurrent use.
type Memory interface {
	// Reserve reserves an amount in bytes. It reserves nothing and returns false if
	// there is too little.
	Reserve(bytes int64) bool
	// Release returns an amount that was reserved.
	Release(bytes int64)
}
