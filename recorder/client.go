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

// errNoAnswer means that a request was not answered in time.
var errNoAnswer = errors.New("no answer from the voter")

// client is the asking side of an instance. It is safe for concurrent use.
type client struct {
	session uint64

	mu        sync.Mutex
	lastID    uint64
	waiting   map[uint64]chan *wire.LogReply
	leaders   map[redwingshunt.GroupID]redwingshunt.InstanceID
	commits   map[redwingshunt.GroupID]uint64
	starts    map[redwingshunt.InstanceID]uint64
	sequences map[redwingshunt.GroupID]uint64
	open      map[redwingshunt.GroupID]map[uint64]bool // sequences without an answer
	rotation  int
}

func newClient(session uint64) *client {
	return &client{
		session:   session,
		waiting:   make(map[uint64]chan *wire.LogReply),
		leaders:   make(map[redwingshunt.GroupID]redwingshunt.InstanceID),
		commits:   make(map[redwingshunt.GroupID]uint64),
		starts:    make(map[redwingshunt.InstanceID]uint64),
		sequences: make(map[redwingshunt.GroupID]uint64),
		open:      make(map[redwingshunt.GroupID]map[uint64]bool),
	}
}

// expect returns the ID of a new request and where its reply will come.
func (c *client) expect() (uint64, chan *wire.LogReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	reply := make(chan *wire.LogReply, 1)
	c.waiting[c.lastID] = reply
	return c.lastID, reply
}

func (c *client) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

// answer hands a reply over and learns from it.
func (c *client) answer(from redwingshunt.InstanceID, reply *wire.LogReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts[from] = reply.GetStart()
	if waiting, ok := c.waiting[reply.GetId()]; ok {
		delete(c.waiting, reply.GetId())
		waiting <- reply
	}
}

// learn notes what a reply tells of a group.
func (c *client) learn(group redwingshunt.GroupID, reply *wire.LogReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commits[group] = max(c.commits[group], reply.GetCommit())
	c.leaders[group] = redwingshunt.InstanceID(reply.GetLeader())
}

// setLeader notes who leads a group; an empty name means that it is unknown.
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

// begin numbers a command. Its base is a commit index from before the command
// existed.
func (c *client) begin(group redwingshunt.GroupID, command []byte) *wire.LogCommand {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequences[group]++
	if c.open[group] == nil {
		c.open[group] = make(map[uint64]bool)
	}
	c.open[group][c.sequences[group]] = true
	return &wire.LogCommand{
		Session: c.session, Sequence: c.sequences[group], Base: c.commits[group], Command: command,
	}
}

// end notes that nobody waits for the answer to a command any more.
func (c *client) end(group redwingshunt.GroupID, command *wire.LogCommand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open[group], command.GetSequence())
}

// floor returns the first sequence without an answer.
func (c *client) floor(group redwingshunt.GroupID) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	floor := c.sequences[group] + 1
	for sequence := range c.open[group] {
		floor = min(floor, sequence)
	}
	return floor
}

// target returns the leader of a group as far as known, or else a voter, each
// in its turn.
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
	r.client.rotation++
	return voters[r.client.rotation%len(voters)]
}

// voters returns the live instances with a folder, or those of the settings.
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

// ask sends a request to an instance, this one included, and waits for its
// reply.
func (r *Recorder) ask(ctx context.Context, to redwingshunt.InstanceID, request *wire.LogRequest) (*wire.LogReply, error) {
	id, reply := r.client.expect()
	defer r.client.forget(id)
	request.Id, request.Session = id, r.client.session
	if to == r.options.Self {
		err := r.do(ctx, func() { r.serve(to, request, func(reply *wire.LogReply) { r.client.answer(to, reply) }) })
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
		return nil, errNoAnswer
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// receiveCall takes a request or a reply from the link.
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
	if request == nil || r.journal == nil {
		return
	}
	select {
	case <-r.done:
		// It cannot tell what became of earlier copies, so it names no start.
		stopped := refusal(errStopped.Error())
		stopped.Id = request.GetId()
		r.send(from, redwingshunt.KindSubmit, &wire.LogCall{Reply: stopped})
	default:
		r.try(func() {
			r.serve(from, request, func(reply *wire.LogReply) {
				r.send(from, redwingshunt.KindSubmit, &wire.LogCall{Reply: reply})
			})
		})
	}
}
