package recorder

import (
	"maps"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/replicator"
	"github.com/redwingshunt/redwingshunt/replicator/encoder"
	"github.com/redwingshunt/redwingshunt/wire"
)

// handleRequest replies to a request of an instance; it runs in the loop.
func (r *Recorder) handleRequest(from redwingshunt.InstanceID, request *wire.LogRequest, send func(*wire.LogReply)) {
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
		r.handleSeed(request.GetSeed(), reply)
	case request.GetStatus():
		reply(g.statusReply())
	case request.GetChange() != nil:
		g.change(parseChange(request.GetChange()), reply)
	case request.GetCommand() != nil:
		r.handleCommand(from, g, request, reply)
	}
}

func refusal(reason string) *wire.LogReply {
	return &wire.LogReply{Outcome: wire.LogOutcome_LOG_OUTCOME_REFUSED, Reason: reason}
}

// handleCommand queues a command for the core. It drops a copy of a request that
// it has seen, so that a refusal holds for all copies.
func (r *Recorder) handleCommand(from redwingshunt.InstanceID, g *group, request *wire.LogRequest, reply func(*wire.LogReply)) {
	command := request.GetCommand()
	switch {
	case from != r.options.Self && request.GetToStart() != r.journal.Start():
		reply(refusal("another start"))
		return
	case !r.requestWindow(from, request.GetSession()).add(request.GetId()):
		return
	case g.core.Role() != replicator.RoleLeader:
		reply(refusal(string(replicator.RefusedNotLeader)))
		return
	case command.GetBase()+sessionWindowEntries/2 < g.core.Commit():
		reply(refusal("the base is too old"))
		return
	}
	data, err := proto.Marshal(command)
	if err != nil {
		reply(refusal(err.Error()))
		return
	}
	g.queued = append(g.queued, proposal{data: data, reply: reply})
}

// statusReply reports the membership of a group to membership operations.
func (g *group) statusReply() *wire.LogReply {
	s := g.core.Status()
	if s.Role != replicator.RoleLeader {
		return refusal(string(replicator.RefusedNotLeader))
	}
	reply := &wire.LogReply{
		Outcome:    wire.LogOutcome_LOG_OUTCOME_APPLIED,
		Membership: encoder.Members(s.Membership),
		Pending:    s.Pending,
	}
	for _, m := range s.Members {
		if !m.Alive {
			reply.Silent = append(reply.Silent, encoder.Member(replicator.Member{ID: m.ID}))
		}
	}
	return reply
}

func parseChange(change *wire.LogChange) replicator.Change {
	add := encoder.ParseMember(change.GetAdd())
	return replicator.Change{Add: add.ID, Replaced: add.Replaces, Remove: encoder.ParseMember(change.GetRemove()).ID}
}

// requestWindow records the most recent request IDs of one session of one
// instance.
type requestWindow struct {
	session uint64
	newest  uint64
	seen    [windowRequests / 64]uint64
}

// windowRequests is the number of request IDs within which duplicates are
// detected; older IDs count as duplicates.
const windowRequests = 4096

// windowPruneThreshold is the number of windows from which the windows of instances
// that are not live are removed.
const windowPruneThreshold = 1024

// requestWindow returns the window of an instance; a new session starts with an
// empty one.
func (r *Recorder) requestWindow(from redwingshunt.InstanceID, session uint64) *requestWindow {
	w := r.windows[from]
	if w == nil || w.session != session {
		r.pruneWindows()
		w = &requestWindow{session: session}
		r.windows[from] = w
	}
	return w
}

// pruneWindows removes the windows of instances that are not live, once there are
// windowPruneThreshold windows.
func (r *Recorder) pruneWindows() {
	if len(r.windows) < windowPruneThreshold {
		return
	}
	live := make(map[redwingshunt.InstanceID]bool)
	for _, instance := range r.options.Members.Live() {
		live[instance.ID] = true
	}
	maps.DeleteFunc(r.windows, func(id redwingshunt.InstanceID, _ *requestWindow) bool { return !live[id] })
}

// add records a request ID and reports whether it is new.
func (w *requestWindow) add(id uint64) bool {
	if id+windowRequests <= w.newest {
		return false
	}
	for w.newest < id {
		w.newest++
		w.set(w.newest, false)
		if id-w.newest > windowRequests {
			w.newest = id - windowRequests
		}
	}
	if w.seen[id%windowRequests/64]&(1<<(id%64)) != 0 {
		return false
	}
	w.set(id, true)
	return true
}

func (w *requestWindow) set(id uint64, value bool) {
	w.seen[id%windowRequests/64] &^= 1 << (id % 64)
	if value {
		w.seen[id%windowRequests/64] |= 1 << (id % 64)
	}
}
