package recorder

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// proposalAttempts is the state of one proposal across all its attempts.
type proposalAttempts struct {
	group     redwingshunt.GroupID
	command   *wire.LogCommand
	uncertain bool // an attempt may still take effect
}

// Propose sends a command to the leader of a group until it is committed or ctx
// ends. It returns ErrNotCommitted if no attempt can take effect any more, and
// otherwise ErrUnknown. It implements redwingshunt.Log.
func (r *Recorder) Propose(ctx context.Context, group redwingshunt.GroupID, command []byte) ([]byte, error) {
	a := &proposalAttempts{group: group, command: r.client.beginCommand(group, command)}
	defer func() { r.client.endCommand(group, a.command) }()
	for ctx.Err() == nil {
		reply, wait := r.attempt(ctx, a)
		switch reply.GetOutcome() {
		case wire.LogOutcome_LOG_OUTCOME_APPLIED:
			return reply.GetAnswer(), nil
		case wire.LogOutcome_LOG_OUTCOME_EXPIRED:
			return nil, redwingshunt.ErrUnknown
		}
		if wait {
			redwingshunt.Pause(ctx, retryDelay)
		}
	}
	if a.uncertain {
		return nil, redwingshunt.ErrUnknown
	}
	return nil, redwingshunt.ErrNotCommitted
}

// attempt sends the command once. It returns the reply, or nil if there was none,
// and whether to wait before the next attempt.
func (r *Recorder) attempt(ctx context.Context, a *proposalAttempts) (*wire.LogReply, bool) {
	target := r.target(a.group)
	if target == "" {
		return nil, true
	}
	a.command.Floor = r.client.floor(a.group)
	request := &wire.LogRequest{
		Group:   uint32(a.group),
		Command: proto.CloneOf(a.command),
		ToStart: r.client.start(target),
	}
	if target == r.options.Self {
		request.ToStart = r.ownStart()
	}
	reply, err := r.ask(ctx, target, request)
	if err != nil {
		a.uncertain = a.uncertain || request.ToStart != 0 && !errors.Is(err, errStopped)
		r.client.setLeader(a.group, "")
		return nil, !errors.Is(err, errReplyTimeout)
	}
	r.client.updateGroup(a.group, reply)
	if reply.GetOutcome() == wire.LogOutcome_LOG_OUTCOME_REFUSED {
		a.refused(request, reply)
	}
	leader := redwingshunt.InstanceID(reply.GetLeader())
	startMatches := reply.GetStart() == request.ToStart
	return reply, leader == "" || leader == target && startMatches
}

// refused records that an attempt was refused. Only the start that the request was
// addressed to can tell that none of its copies takes effect.
func (a *proposalAttempts) refused(request *wire.LogRequest, reply *wire.LogReply) {
	if request.ToStart != 0 && reply.GetStart() != request.ToStart {
		a.uncertain = true
	}
	if !a.uncertain {
		a.command.Base = max(a.command.Base, reply.GetCommit())
	}
}
