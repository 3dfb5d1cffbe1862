package recorder

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// attempts is the state of one proposal over all its attempts.
type attempts struct {
	group     redwingshunt.GroupID
	command   *wire.LogCommand
	uncertain bool // an attempt may still take effect
}

// Propose sends a command to the leader of a group until it is committed or ctx
// ends. It implements redwingshunt.Log.
func (r *Recorder) Propose(ctx context.Context, group redwingshunt.GroupID, command []byte) ([]byte, error) {
	a := &attempts{group: group, command: r.client.begin(group, command)}
	defer func() { r.client.end(group, a.command) }()
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

// attempt sends the command once. It returns the reply, or nil if there was
// none, and whether to wait before the next attempt.
func (r *Recorder) attempt(ctx context.Context, a *attempts) (*wire.LogReply, bool) {
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
		return nil, !errors.Is(err, errNoAnswer)
	}
	r.client.learn(a.group, reply)
	if reply.GetOutcome() == wire.LogOutcome_LOG_OUTCOME_REFUSED {
		a.refused(request, reply)
	}
	leader := redwingshunt.InstanceID(reply.GetLeader())
	met := reply.GetStart() == request.ToStart
	return reply, leader == "" || leader == target && met
}

// refused takes in that an attempt was refused. Only the start that the request
// was addressed to can say that none of its copies takes effect.
func (a *attempts) refused(request *wire.LogRequest, reply *wire.LogReply) {
	if request.ToStart != 0 && reply.GetStart() != request.ToStart {
		a.uncertain = true
	}
	if !a.uncertain {
		a.command.Base = max(a.command.Base, reply.GetCommit())
	}
}
