package recorder

import (
	"maps"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/replicator"
	"github.com/redwingshunt/redwingshunt/replicator/encoder"
	"github.com/redwingshunt/redwingshunt/wire"
)

// serve answers a request of an instance; it runs in the loop.
func (r *Recorder) serve(from redwingshunt.InstanceID, request *wire.LogRequest, send func(*wire.LogReply)) {
	reply := func(answer *wire.LogReply) {
		answer.Id = request.GetId()
		answer.Start = r.journal.Start()
		if g := r.groups[redwingshunt.GroupID(request.GetGroup())]; g != nil {
			answer.Leader, answer.Commit = string(g.core.Leader().Instance), g.core.Commit()
		}
		send(answer)
	}
	g := r.groups[redwingshunt.GroupID(request.GetGroup())]
	switch {
	case g == nil:
		reply(refusal("no such group"))
	case request.GetIdentify():
		reply(&wire.LogReply{
			Outcome: wire.LogOutcome_LOG_OUTCOME_APPLIED, Folder: uint64(r.self.Folder), Seeded: g.seeded(), States: r.states(),
		})
	case request.GetSeed() != nil:
		r.takeSeed(request.GetSeed(), reply)
	case request.GetStatus():
		reply(g.describe())
	case request.GetChange() != nil:
		g.change(parseChange(request.GetChange()), reply)
	case request.GetCommand() != nil:
		r.serveCommand(from, g, request, reply)
	}
}

func refusal(reason string) *wire.LogReply {
	return &wire.LogReply{Outcome: wire.LogOutcome_LOG_OUTCOME_REFUSED, Reason: reason}
}

// serveCommand offers a command to the core. A copy of a request that has been
// seen is dropped, so that a refusal speaks for all copies.
func (r *Recorder) serveCommand(from redwingshunt.InstanceID, g *group, request *wire.LogRequest, reply func(*wire.LogReply)) {
	command := request.GetCommand()
	switch {
	case from != r.options.Self && request.GetToStart() != r.journal.Start():
		reply(refusal("another start"))
		return
	case !r.window(from, request.GetSession()).add(request.GetId()):
		return
	case g.core.Role() != replicator.RoleLeader:
		reply(refusal(string(replicator.RefusedNotLeader)))
		return
	case command.GetBase()+sessionWindow/2 < g.core.Commit():
		reply(refusal("the base is too old"))
		return
	}
	data, err := proto.Marshal(command)
	if err != nil {
		reply(refusal(err.Error()))
		return
	}
	g.offered = append(g.offered, proposal{data: data, reply: reply})
}

// describe tells membership operations how a group stands.
func (g *group) describe() *wire.LogReply {
	s := g.core.Status()
	if s.Role != replicator.RoleLeader {
		return refusal(string(replicator.RefusedNotLeader))
	}
	return &wire.LogReply{
		Outcome:    wire.LogOutcome_LOG_OUTCOME_APPLIED,
		Membership: encoder.Members(s.Membership),
		Pending:    s.Pending,
	}
}

func parseChange(change *wire.LogChange) replicator.Change {
	add := encoder.ParseMember(change.GetAdd())
	return replicator.Change{Add: add.ID, For: add.Replaces, Remove: encoder.ParseMember(change.GetRemove()).ID}
}

// window remembers the requests of one session of one instance.
type window struct {
	session uint64
	newest  uint64
	seen    [windowSize / 64]uint64
}

// windowSize is the number of requests within which copies are recognised;
// older ones are taken for copies.
const windowSize = 4096

// windowsMax is the number of windows from which those of instances that are
// gone are forgotten.
const windowsMax = 1024

// window returns the window of an instance; a new session begins a new one.
func (r *Recorder) window(from redwingshunt.InstanceID, session uint64) *window {
	w := r.windows[from]
	if w == nil || w.session != session {
		r.forgetWindows()
		w = &window{session: session}
		r.windows[from] = w
	}
	return w
}

// forgetWindows forgets the instances that are gone once there are many.
func (r *Recorder) forgetWindows() {
	if len(r.windows) < windowsMax {
		return
	}
	live := make(map[redwingshunt.InstanceID]bool)
	for _, instance := range r.options.Members.Live() {
		live[instance.ID] = true
	}
	maps.DeleteFunc(r.windows, func(id redwingshunt.InstanceID, _ *window) bool { return !live[id] })
}

// add notes a request and reports whether it is new.
func (w *window) add(id uint64) bool {
	if id+windowSize <= w.newest {
		return false
	}
	for w.newest < id {
		w.newest++
		w.set(w.newest, false)
		if id-w.newest > windowSize {
			w.newest = id - windowSize
		}
	}
	if w.seen[id%windowSize/64]&(1<<(id%64)) != 0 {
		return false
	}
	w.set(id, true)
	return true
}

func (w *window) set(id uint64, value bool) {
	w.seen[id%windowSize/64] &^= 1 << (id % 64)
	if value {
		w.seen[id%windowSize/64] |= 1 << (id % 64)
	}
}
