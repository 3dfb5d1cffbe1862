// Package guarantor makes non-idempotent requests run at most once. It
// implements redwingshunt.Claimer over the log of claims.
//
// Package claimer makes the decisions; this package proposes commands to the log
// and translates the replies of the group. A request is never run unless its
// claim is known to be committed:
//
//   - When a claim was not committed, the request is refused as not run, with
//     Retry-After.
//   - When it is unknown whether a claim was committed, the claim is proposed
//     again with the same identifier. If that fails too, the request is refused
//     as not run, and the claim is abandoned once the log is reachable.
//   - A claim whose holder was lost is marked as interrupted.
//
// An answer is recorded before Finish returns or, when the log is unreachable,
// as soon as it is reachable again.
//
// # Usage
//
//	g := guarantor.New(clock, log, members, configuration, keeper)
//	go g.Run(ctx)
//	result, err := g.Claim(ctx, request)
//	if err == nil && result.State == redwingshunt.ClaimGranted {
//		// dispatch, then Finish, or Abandon when no byte was sent to an upstream
//	}
package guarantor

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/claimer"
	"github.com/redwingshunt/redwingshunt/keeper"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	// proposeTimeout bounds one proposal.
	proposeTimeout = 2 * time.Second
	// maxProposals is how often a claim is proposed before it is refused.
	maxProposals = 2
	// quorumRetryAfter and fullRetryAfter are the values of Retry-After.
	quorumRetryAfter = time.Second
	fullRetryAfter   = time.Minute
)

// heldClaim is a claim that this instance holds.
type heldClaim struct {
	id          uint64
	group       redwingshunt.GroupID
	fingerprint redwingshunt.Fingerprint
	void        bool // refused to the caller; the abandon command is pending
}

// Guarantor implements redwingshunt.Claimer. It is safe for concurrent use.
type Guarantor struct {
	clock   redwingshunt.Clock
	log     redwingshunt.Log
	members redwingshunt.Members
	config  redwingshunt.Configuration
	keeper  *keeper.Keeper

	mu         sync.Mutex
	running    map[claimer.Key]heldClaim
	pending    []pending
	unfinished int // number of pending commands, including those being proposed
	wake       chan struct{}
}

// New returns a Guarantor that holds no claims.
func New(
	clock redwingshunt.Clock,
	log redwingshunt.Log,
	members redwingshunt.Members,
	config redwingshunt.Configuration,
	answers *keeper.Keeper,
) *Guarantor {
	return &Guarantor{
		clock:   clock,
		log:     log,
		members: members,
		config:  config,
		keeper:  answers,
		running: make(map[claimer.Key]heldClaim),
		wake:    make(chan struct{}, 1),
	}
}

// Claim implements redwingshunt.Claimer. Its error is always a
// redwingshunt.OutcomeError with the outcome not run.
func (g *Guarantor) Claim(ctx context.Context, r *redwingshunt.Request) (redwingshunt.ClaimResult, error) {
	snapshot := g.config.Current()
	if snapshot == nil {
		return redwingshunt.ClaimResult{}, redwingshunt.NotRun(redwingshunt.ReasonNoConfiguration, 503,
			"this instance has no configuration yet").After(quorumRetryAfter)
	}
	if !g.keeper.Room() {
		return redwingshunt.ClaimResult{}, claimsFullError()
	}
	key := claimer.KeyOf(r.Account, r.Service, r.Key)
	claim := heldClaim{
		id:          rand.Uint64(),
		group:       claimer.Locate(snapshot.Document, r.Account, key),
		fingerprint: r.Fingerprint,
	}
	other, ok := g.hold(key, claim)
	if !ok {
		return resultOfHeld(other, r)
	}
	reply, err := g.grant(ctx, key, claim, snapshot.Document.Fleet)
	if errors.Is(err, redwingshunt.ErrUnknown) {
		g.void(key, claim)
		return redwingshunt.ClaimResult{}, noQuorumError()
	}
	if err != nil {
		g.release(key, claim)
		return redwingshunt.ClaimResult{}, noQuorumError()
	}
	granted := reply.Status == wire.ClaimStatus_CLAIM_STATUS_GRANTED && reply.Id == claim.id
	if !granted {
		g.release(key, claim)
	}
	return g.result(ctx, key, claim, reply)
}

// Finish implements redwingshunt.Claimer. It returns an error when the answer could
// not be recorded before ctx ended; the answer is then recorded later by Run.
func (g *Guarantor) Finish(ctx context.Context, r *redwingshunt.Request, a *redwingshunt.Answer) error {
	key := claimer.KeyOf(r.Account, r.Service, r.Key)
	claim, ok := g.runnable(key)
	if !ok {
		return trace.NotFound("claim of request %s is not held by this instance", r.ID)
	}
	finish := g.keep(ctx, key, a)
	finish.Key, finish.Id = key[:], claim.id
	return g.close(ctx, key, claim, &wire.ClaimCommand{Action: &wire.ClaimCommand_Finish{Finish: finish}})
}

// Abandon implements redwingshunt.Claimer.
func (g *Guarantor) Abandon(ctx context.Context, r *redwingshunt.Request) error {
	key := claimer.KeyOf(r.Account, r.Service, r.Key)
	claim, ok := g.runnable(key)
	if !ok {
		return trace.NotFound("claim of request %s is not held by this instance", r.ID)
	}
	return g.close(ctx, key, claim, abandonCommand(key, claim.id))
}

// hold registers a claim as held by this instance, unless it already holds one of
// the same key, which hold returns.
func (g *Guarantor) hold(key claimer.Key, claim heldClaim) (heldClaim, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if other, ok := g.running[key]; ok {
		return other, false
	}
	g.running[key] = claim
	return claim, true
}

// release removes a claim from those that this instance holds.
func (g *Guarantor) release(key claimer.Key, claim heldClaim) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running[key].id == claim.id {
		delete(g.running, key)
	}
}

// runnable returns the claim of a key if this instance holds it and may run it.
func (g *Guarantor) runnable(key claimer.Key) (heldClaim, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	claim, ok := g.running[key]
	return claim, ok && !claim.void
}

// void marks a claim as void and queues its abandon command, because the
// claim may be committed already or may still be.
func (g *Guarantor) void(key claimer.Key, claim heldClaim) {
	claim.void = true
	g.mu.Lock()
	g.running[key] = claim
	g.mu.Unlock()
	g.queueAbandon(key, claim)
}

// grant proposes a claim up to maxProposals times, until it is known whether it
// was committed. After an error the request must not run; with ErrUnknown the claim
// may have been committed.
func (g *Guarantor) grant(
	ctx context.Context, key claimer.Key, claim heldClaim, fleet redwingshunt.FleetConfiguration,
) (*wire.ClaimReply, error) {
	command := &wire.ClaimCommand{Action: &wire.ClaimCommand_Grant{Grant: &wire.ClaimGrant{
		Key:         key[:],
		Fingerprint: claim.fingerprint[:],
		Id:          claim.id,
		KeepS:       uint32(fleet.Keep / time.Second),
		Space:       fleet.Space / int64(max(1, fleet.Groups)),
	}}}
	var unknown error
	for range maxProposals {
		reply, err := g.propose(ctx, claim.group, command)
		if err == nil {
			return reply, nil
		}
		if !errors.Is(err, redwingshunt.ErrUnknown) {
			return nil, errors.Join(err, unknown)
		}
		unknown = err
	}
	return nil, unknown
}

// propose commits one command. Every error wraps ErrNotCommitted or ErrUnknown.
func (g *Guarantor) propose(
	ctx context.Context, group redwingshunt.GroupID, command *wire.ClaimCommand,
) (*wire.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	self := g.members.Self()
	command.Instance = string(self.ID)
	command.Incarnation = uint64(self.Incarnation)
	command.TimeMs = g.clock.Now().UnixMilli()
	encoded, err := g.log.Propose(ctx, group, claimer.Encode(command))
	if errors.Is(err, redwingshunt.ErrNotCommitted) {
		return nil, err
	}
	if err != nil {
		return nil, errors.Join(redwingshunt.ErrUnknown, err)
	}
	reply, err := claimer.Decode(encoded)
	if err != nil {
		return nil, errors.Join(redwingshunt.ErrUnknown, err)
	}
	return reply, nil
}

// result translates the reply of the group to a claim into its result.
func (g *Guarantor) result(
	ctx context.Context, key claimer.Key, claim heldClaim, reply *wire.ClaimReply,
) (redwingshunt.ClaimResult, error) {
	switch reply.Status {
	case wire.ClaimStatus_CLAIM_STATUS_GRANTED:
		if reply.Id == claim.id {
			return redwingshunt.ClaimResult{State: redwingshunt.ClaimGranted}, nil
		}
	case wire.ClaimStatus_CLAIM_STATUS_IN_PROGRESS:
		return g.inProgress(ctx, key, claim, reply)
	case wire.ClaimStatus_CLAIM_STATUS_ANSWERED:
		return redwingshunt.ClaimResult{State: redwingshunt.ClaimAnswered, Answer: g.answer(ctx, key, reply)}, nil
	case wire.ClaimStatus_CLAIM_STATUS_INTERRUPTED:
		return redwingshunt.ClaimResult{State: redwingshunt.ClaimInterrupted}, nil
	case wire.ClaimStatus_CLAIM_STATUS_CONFLICT:
		return redwingshunt.ClaimResult{State: redwingshunt.ClaimConflict}, nil
	case wire.ClaimStatus_CLAIM_STATUS_FULL:
		return redwingshunt.ClaimResult{}, claimsFullError()
	}
	return redwingshunt.ClaimResult{}, noQuorumError()
}

// inProgress returns whether a claim in progress is still run by its holder. If the
// holder is this instance, which does not hold the claim, the claim was committed
// after it had been given up, and is abandoned. If the holder is not alive or
// has restarted, the claim is marked as interrupted.
func (g *Guarantor) inProgress(
	ctx context.Context, key claimer.Key, claim heldClaim, reply *wire.ClaimReply,
) (redwingshunt.ClaimResult, error) {
	holder := redwingshunt.InstanceID(reply.Holder)
	incarnation := redwingshunt.Incarnation(reply.Incarnation)
	self := g.members.Self()
	if holder == self.ID && incarnation == self.Incarnation {
		g.queueAbandon(key, heldClaim{id: reply.Id, group: claim.group})
		return redwingshunt.ClaimResult{State: redwingshunt.ClaimInProgress}, nil
	}
	if g.alive(holder, incarnation) {
		return redwingshunt.ClaimResult{State: redwingshunt.ClaimInProgress}, nil
	}
	interrupt := &wire.ClaimCommand{Action: &wire.ClaimCommand_Interrupt{Interrupt: &wire.ClaimInterrupt{
		Instance: reply.Holder, Incarnation: reply.Incarnation,
	}}}
	if _, err := g.propose(ctx, claim.group, interrupt); err != nil {
		return redwingshunt.ClaimResult{State: redwingshunt.ClaimInProgress}, nil
	}
	return redwingshunt.ClaimResult{State: redwingshunt.ClaimInterrupted}, nil
}

// alive reports whether an instance is alive and has not restarted since an
// incarnation.
func (g *Guarantor) alive(id redwingshunt.InstanceID, incarnation redwingshunt.Incarnation) bool {
	for _, i := range g.members.Live() {
		if i.ID == id {
			return i.Incarnation <= incarnation
		}
	}
	return false
}

// resultOfHeld returns the result for a request whose key this instance already
// holds.
func resultOfHeld(other heldClaim, r *redwingshunt.Request) (redwingshunt.ClaimResult, error) {
	if other.void {
		return redwingshunt.ClaimResult{}, noQuorumError()
	}
	if other.fingerprint != r.Fingerprint {
		return redwingshunt.ClaimResult{State: redwingshunt.ClaimConflict}, nil
	}
	return redwingshunt.ClaimResult{State: redwingshunt.ClaimInProgress}, nil
}

// claimsFullError returns the refusal of a claim for which there is no space.
func claimsFullError() error {
	return redwingshunt.NotRun(redwingshunt.ReasonClaimsFull, 503,
		"the space for claims is used up").After(fullRetryAfter)
}

// noQuorumError returns the refusal of a claim that is not known to be committed.
func noQuorumError() error {
	return redwingshunt.NotRun(redwingshunt.ReasonNoQuorum, 503,
		"the claim could not be committed by a quorum").After(quorumRetryAfter)
}
