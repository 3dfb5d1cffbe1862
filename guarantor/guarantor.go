// Package guarantor makes non-idempotent requests run at most once. It
// implements redwingshunt.Claimer over the log of claims.
//
// The decisions are those of package claimer; this package proposes commands
// and tells what the group answered. What it never does is to let a request run
// of which the claim is not known to be committed:
//
//   - a claim that was not committed is refused as not run, with Retry-After;
//   - a claim of which it is unknown whether it was committed is proposed again
//     with the same identifier, and when that does not help, the request is
//     refused as not run, and the claim is abandoned once the log can be
//     reached;
//   - a claim whose holder is gone is marked as interrupted.
//
// An answer is recorded before Finish returns, or, when the log can't be
// reached, as soon as it can.
//
// # Usage
//
//	g := guarantor.New(clock, log, members, configuration, keeper)
//	go g.Run(ctx)
//	result, err := g.Claim(ctx, request)
//	if err == nil && result.State == redwingshunt.ClaimGranted {
//		// dispatch, then Finish, or Abandon when no byte left
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
	// proposeWait is how long one proposal may take.
	proposeWait = 2 * time.Second
	// proposals is how often a claim is proposed before it is refused.
	proposals = 2
	// quorumRetry and fullRetry are told in Retry-After.
	quorumRetry = time.Second
	fullRetry   = time.Minute
)

// run is a claim that this instance holds.
type run struct {
	id          uint64
	group       redwingshunt.GroupID
	fingerprint redwingshunt.Fingerprint
	void        bool // refused; it is abandoned once the log can be reached
}

// Guarantor implements redwingshunt.Claimer. It is safe for concurrent use.
type Guarantor struct {
	clock   redwingshunt.Clock
	log     redwingshunt.Log
	members redwingshunt.Members
	config  redwingshunt.Configuration
	keeper  *keeper.Keeper

	mu      sync.Mutex
	running map[claimer.Key]run
	pending []pending
	open    int // pending commands and those being proposed
	wake    chan struct{}
}

// New returns a guarantor without claims.
func New(
	clock redwingshunt.Clock,
	log redwingshunt.Log,
	members redwingshunt.Members,
	config redwingshunt.Configuration,
	kept *keeper.Keeper,
) *Guarantor {
	return &Guarantor{
		clock:   clock,
		log:     log,
		members: members,
		config:  config,
		keeper:  kept,
		running: make(map[claimer.Key]run),
		wake:    make(chan struct{}, 1),
	}
}

// Claim implements redwingshunt.Claimer. Its error is always a
// redwingshunt.OutcomeError that says not run.
func (g *Guarantor) Claim(ctx context.Context, r *redwingshunt.Request) (redwingshunt.ClaimResult, error) {
	snapshot := g.config.Current()
	if snapshot == nil {
		return redwingshunt.ClaimResult{}, redwingshunt.NotRun(redwingshunt.ReasonNoConfiguration, 503,
			"this instance has no configuration yet").After(quorumRetry)
	}
	if !g.keeper.Room() {
		return redwingshunt.ClaimResult{}, full()
	}
	key := claimer.KeyOf(r.Account, r.Service, r.Key)
	mine := run{
		id:          rand.Uint64(),
		group:       claimer.Locate(snapshot.Document, r.Account, key),
		fingerprint: r.Fingerprint,
	}
	other, ok := g.enter(key, mine)
	if !ok {
		return held(other, r)
	}
	reply, err := g.grant(ctx, key, mine, snapshot.Document.Fleet)
	if errors.Is(err, redwingshunt.ErrUnknown) {
		g.void(key, mine)
		return redwingshunt.ClaimResult{}, noQuorum()
	}
	if err != nil {
		g.leave(key, mine)
		return redwingshunt.ClaimResult{}, noQuorum()
	}
	granted := reply.Status == wire.ClaimStatus_CLAIM_STATUS_GRANTED && reply.Id == mine.id
	if !granted {
		g.leave(key, mine)
	}
	return g.result(ctx, key, mine, reply)
}

// Finish implements redwingshunt.Claimer. The answer is recorded later when the
// log can't be reached before ctx ends; the error says so.
func (g *Guarantor) Finish(ctx context.Context, r *redwingshunt.Request, a *redwingshunt.Answer) error {
	key := claimer.KeyOf(r.Account, r.Service, r.Key)
	mine, ok := g.holds(key)
	if !ok {
		return trace.NotFound("the claim of request %s is not held here", r.ID)
	}
	f := g.keep(ctx, key, a)
	f.Key, f.Id = key[:], mine.id
	return g.close(ctx, key, mine, &wire.ClaimCommand{Action: &wire.ClaimCommand_Finish{Finish: f}})
}

// Abandon implements redwingshunt.Claimer.
func (g *Guarantor) Abandon(ctx context.Context, r *redwingshunt.Request) error {
	key := claimer.KeyOf(r.Account, r.Service, r.Key)
	mine, ok := g.holds(key)
	if !ok {
		return trace.NotFound("the claim of request %s is not held here", r.ID)
	}
	return g.close(ctx, key, mine, abandon(key, mine.id))
}

// enter notes a claim as held here, unless one of the same key is.
func (g *Guarantor) enter(key claimer.Key, mine run) (run, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if other, ok := g.running[key]; ok {
		return other, false
	}
	g.running[key] = mine
	return mine, true
}

// leave notes that a claim is not held here any more.
func (g *Guarantor) leave(key claimer.Key, mine run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running[key].id == mine.id {
		delete(g.running, key)
	}
}

// holds returns the claim that may run here.
func (g *Guarantor) holds(key claimer.Key) (run, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	mine, ok := g.running[key]
	return mine, ok && !mine.void
}

// void gives up a claim that may be committed, or become so.
func (g *Guarantor) void(key claimer.Key, mine run) {
	mine.void = true
	g.mu.Lock()
	g.running[key] = mine
	g.mu.Unlock()
	g.abandonLater(key, mine)
}

// grant proposes a claim until it is known whether it was committed. After an
// error it must not run; with ErrUnknown it may be committed all the same.
func (g *Guarantor) grant(
	ctx context.Context, key claimer.Key, mine run, fleet redwingshunt.FleetConfiguration,
) (*wire.ClaimReply, error) {
	command := &wire.ClaimCommand{Action: &wire.ClaimCommand_Grant{Grant: &wire.ClaimGrant{
		Key:         key[:],
		Fingerprint: mine.fingerprint[:],
		Id:          mine.id,
		KeepS:       uint32(fleet.Keep / time.Second),
		Space:       fleet.Space / int64(max(1, fleet.Groups)),
	}}}
	var unknown error
	for range proposals {
		reply, err := g.propose(ctx, mine.group, command)
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

// propose commits one command. Every error is ErrNotCommitted or ErrUnknown.
func (g *Guarantor) propose(
	ctx context.Context, group redwingshunt.GroupID, command *wire.ClaimCommand,
) (*wire.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeWait)
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

// result tells what a reply of the group means to a caller.
func (g *Guarantor) result(
	ctx context.Context, key claimer.Key, mine run, reply *wire.ClaimReply,
) (redwingshunt.ClaimResult, error) {
	switch reply.Status {
	case wire.ClaimStatus_CLAIM_STATUS_GRANTED:
		if reply.Id == mine.id {
			return redwingshunt.ClaimResult{State: redwingshunt.ClaimGranted}, nil
		}
	case wire.ClaimStatus_CLAIM_STATUS_IN_PROGRESS:
		return g.inProgress(ctx, key, mine, reply)
	case wire.ClaimStatus_CLAIM_STATUS_ANSWERED:
		return redwingshunt.ClaimResult{State: redwingshunt.ClaimAnswered, Answer: g.answer(ctx, key, reply)}, nil
	case wire.ClaimStatus_CLAIM_STATUS_INTERRUPTED:
		return redwingshunt.ClaimResult{State: redwingshunt.ClaimInterrupted}, nil
	case wire.ClaimStatus_CLAIM_STATUS_CONFLICT:
		return redwingshunt.ClaimResult{State: redwingshunt.ClaimConflict}, nil
	case wire.ClaimStatus_CLAIM_STATUS_FULL:
		return redwingshunt.ClaimResult{}, full()
	}
	return redwingshunt.ClaimResult{}, noQuorum()
}

// inProgress tells whether the holder of a claim still runs it. A claim of this
// instance that it does not hold was committed after it had been given up; a
// holder that is not alive, or has restarted, was lost.
func (g *Guarantor) inProgress(
	ctx context.Context, key claimer.Key, mine run, reply *wire.ClaimReply,
) (redwingshunt.ClaimResult, error) {
	holder := redwingshunt.InstanceID(reply.Holder)
	incarnation := redwingshunt.Incarnation(reply.Incarnation)
	self := g.members.Self()
	if holder == self.ID && incarnation == self.Incarnation {
		g.abandonLater(key, run{id: reply.Id, group: mine.group})
		return redwingshunt.ClaimResult{State: redwingshunt.ClaimInProgress}, nil
	}
	if g.alive(holder, incarnation) {
		return redwingshunt.ClaimResult{State: redwingshunt.ClaimInProgress}, nil
	}
	gone := &wire.ClaimCommand{Action: &wire.ClaimCommand_Interrupt{Interrupt: &wire.ClaimInterrupt{
		Instance: reply.Holder, Incarnation: reply.Incarnation,
	}}}
	if _, err := g.propose(ctx, mine.group, gone); err != nil {
		return redwingshunt.ClaimResult{State: redwingshunt.ClaimInProgress}, nil
	}
	return redwingshunt.ClaimResult{State: redwingshunt.ClaimInterrupted}, nil
}

// alive reports whether an incarnation of an instance is alive.
func (g *Guarantor) alive(id redwingshunt.InstanceID, incarnation redwingshunt.Incarnation) bool {
	for _, i := range g.members.Live() {
		if i.ID == id {
			return i.Incarnation <= incarnation
		}
	}
	return false
}

// held returns the state of a key that this instance holds already.
func held(other run, r *redwingshunt.Request) (redwingshunt.ClaimResult, error) {
	if other.void {
		return redwingshunt.ClaimResult{}, noQuorum()
	}
	if other.fingerprint != r.Fingerprint {
		return redwingshunt.ClaimResult{State: redwingshunt.ClaimConflict}, nil
	}
	return redwingshunt.ClaimResult{State: redwingshunt.ClaimInProgress}, nil
}

// full refuses a claim for which there is no space.
func full() error {
	return redwingshunt.NotRun(redwingshunt.ReasonClaimsFull, 503,
		"the space for claims is used up").After(fullRetry)
}

// noQuorum refuses a claim that is not known to be committed.
func noQuorum() error {
	return redwingshunt.NotRun(redwingshunt.ReasonNoQuorum, 503,
		"the claim could not be committed by a quorum").After(quorumRetry)
}
