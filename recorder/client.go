package recorder

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// errReplyTimeout means that no reply arrived within attemptTimeout.
var errReplyTimeout = errors.New("no reply from the voter before the timeout")

// client tracks the requests that this instance sends. It is safe for concurrent
// use.
type client struct {
	session uint64

	mu          sync.Mutex
	lastID      uint64
	waiting     map[uint64]chan *wire.LogReply
	leaders     map[redwingshunt.GroupID]redwingshunt.InstanceID
	commits     map[redwingshunt.GroupID]uint64
	starts      map[redwingshunt.InstanceID]uint64
	sequences   map[redwingshunt.GroupID]uint64
	outstanding map[redwingshunt.GroupID]map[uint64]bool // sequences of commands whose proposer still waits
	nextVoter   int
}

func newClient(session uint64) *client {
	return &client{
		session:     session,
		waiting:     make(map[uint64]chan *wire.LogReply),
		leaders:     make(map[redwingshunt.GroupID]redwingshunt.InstanceID),
		commits:     make(map[redwingshunt.GroupID]uint64),
		starts:      make(map[redwingshunt.InstanceID]uint64),
		sequences:   make(map[redwingshunt.GroupID]uint64),
		outstanding: make(map[redwingshunt.GroupID]map[uint64]bool),
	}
}

// addRequest returns the ID of a new request and the channel for its reply.
func (c *client) addRequest() (uint64, chan *wire.LogReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	reply := make(chan *wire.LogReply, 1)
	c.waiting[c.lastID] = reply
	return c.lastID, reply
}

func (c *client) removeRequest(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

// answer delivers a reply to its waiter and records the start of the sender.
func (c *client) answer(from redwingshunt.InstanceID, reply *wire.LogReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts[from] = reply.GetStart()
	if waiting, ok := c.waiting[reply.GetId()]; ok {
		delete(c.waiting, reply.GetId())
		waiting <- reply
	}
}

// updateGroup records the leader and commit index that a reply reports for a
// group.
func (c *client) updateGroup(group redwingshunt.GroupID, reply *wire.LogReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commits[group] = max(c.commits[group], reply.GetCommit())
	c.leaders[group] = redwingshunt.InstanceID(reply.GetLeader())
}

// setLeader records the leader of a group; an empty name means that it is unknown.
func (c *client) setLeader(group redwingshunt.GroupID, leader redwingshunt.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaders[group] = leader
}

// start returns the last known start of an instance, or zero.
func (c *client) start(of redwingshunt.InstanceID) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[of]
}

// beginCommand assigns the next sequence to a command. Its base is a commit index
// from before the command was created.
func (c *client) beginCommand(group redwingshunt.GroupID, command []byte) *wire.LogCommand {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequences[group]++
	if c.outstanding[group] == nil {
		c.outstanding[group] = make(map[uint64]bool)
	}
	c.outstanding[group][c.sequences[group]] = true
	return &wire.LogCommand{
		Session: c.session, Sequence: c.sequences[group], Base: c.commits[group], Command: command,
	}
}

// endCommand records that the proposer no longer waits for a command.
func (c *client) endCommand(group redwingshunt.GroupID, command *wire.LogCommand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.outstanding[group], command.GetSequence())
}

// floor returns the lowest sequence whose proposer still waits, or the next
// sequence if there is none.
func (c *client) floor(group redwingshunt.GroupID) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	floor := c.sequences[group] + 1
	for sequence := range c.outstanding[group] {
		floor = min(floor, sequence)
	}
	return floor
}

// target returns the leader of a group if known, and otherwise the voters in
// round-robin order. It returns "" if no voter is known.
func (r *Recorder) target(group redwingshunt.GroupID) redwingshunt.InstanceID {
	voters := r.voters()
	r.client.mu.Lock()
	defer r.client.mu.Unlock()
	if leader := r.client.leaders[group]; leader != "" {
		return leader
	}
	if len(voters) == 0 {
		return ""
	}
	r.client.nextVoter++
	return voters[r.client.nextVoter%len(voters)]
}

// voters returns the live instances with a folder, or the voters of the settings
// if there are none.
func (r *Recorder) voters() []redwingshunt.InstanceID {
	var voters []redwingshunt.InstanceID
	for _, instance := range r.options.Members.Live() {
		if instance.Voter {
			voters = append(voters, instance.ID)
		}
	}
	if len(voters) == 0 {
		return r.options.Initial
	}
	return voters
}

// ask sends a request to an instance, possibly this one, and waits for its reply.
func (r *Recorder) ask(ctx context.Context, to redwingshunt.InstanceID, request *wire.LogRequest) (*wire.LogReply, error) {
	id, reply := r.client.addRequest()
	defer r.client.removeRequest(id)
	request.Id, request.Session = id, r.client.session
	if to == r.options.Self {
		err := r.runInLoop(ctx, func() { r.handleRequest(to, request, func(reply *wire.LogReply) { r.client.answer(to, reply) }) })
		if err != nil {
			return nil, err
		}
	} else {
		r.send(to, redwingshunt.KindSubmit, &wire.LogCall{Request: request})
	}
	timer := time.NewTimer(attemptTimeout)
	defer timer.Stop()
	select {
	case answer := <-reply:
		return answer, nil
	case <-timer.C:
		return nil, errReplyTimeout
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// receiveCall handles a request or reply from the link.
func (r *Recorder) receiveCall(from redwingshunt.InstanceID, payload []byte) {
	var call wire.LogCall
	if proto.Unmarshal(payload, &call) != nil {
		return
	}
	if reply := call.GetReply(); reply != nil {
		r.client.answer(from, reply)
		return
	}
	request := call.GetRequest()
	if request == nil || !r.hasFolder() {
		return
	}
	select {
	case <-r.done:
		// It is unknown whether earlier copies take effect, so the refusal names
		// no start.
		stopped := refusal(errStopped.Error())
		stopped.Id = request.GetId()
		r.send(from, redwingshunt.KindSubmit, &wire.LogCall{Reply: stopped})
	default:
		r.tryRunInLoop(func() {
			r.handleRequest(from, request, func(reply *wire.LogReply) {
				r.send(from, redwingshunt.KindSubmit, &wire.LogCall{Reply: reply})
			})
		})
	}
}
