package recorder

import (
	"context"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/replicator"
)

// statusTimeout limits the wait for a loop that is busy or has stopped.
const statusTimeout = time.Second

// Status is the state of the replicated logs as known to this instance.
type Status struct {
	Self   redwingshunt.InstanceID `json:"self"`
	Folder replicator.FolderID     `json:"folder,omitempty"` // zero on an instance without a disk
	Start  uint64                  `json:"start,omitempty"`
	Groups []GroupStatus           `json:"groups"`
}

// GroupStatus is the state of one group as known to this instance.
type GroupStatus struct {
	Group    redwingshunt.GroupID    `json:"group"`
	Role     replicator.Role         `json:"role,omitempty"`
	Leader   redwingshunt.InstanceID `json:"leader"` // empty if unknown
	Term     uint64                  `json:"term"`
	Commit   uint64                  `json:"commit"`
	Last     uint64                  `json:"last"`
	Snapshot uint64                  `json:"snapshot"`
	Sessions int                     `json:"sessions"`
	Pending  bool                    `json:"pending"` // a membership change is not complete
	Lost     bool                    `json:"lost"`    // the folder has lost its vote
	Current  bool                    `json:"current"` // all entries committed before the term are applied here
	Members  []MemberStatus          `json:"members"`
}

// MemberStatus is the state of a member of a group. Alive and Lag are zero except
// on the leader.
type MemberStatus struct {
	Instance redwingshunt.InstanceID `json:"instance"`
	Folder   replicator.FolderID     `json:"folder"`
	Voter    bool                    `json:"voter"`
	Alive    bool                    `json:"alive"`
	Lag      uint64                  `json:"lag"` // entries
}

// ownStart returns the number of this start on the folder, or zero without a
// folder.
func (r *Recorder) ownStart() uint64 {
	if !r.hasFolder() {
		return 0
	}
	return r.identity.Load().start
}

// Status returns the state of the replicated logs as known to this instance. It
// waits at most one second for the loop, and then omits the state of the replicas.
func (r *Recorder) Status() Status {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	found := make(chan Status, 1)
	if r.runInLoop(ctx, func() { found <- r.status() }) == nil {
		select {
		case s := <-found:
			return s
		case <-ctx.Done():
		}
	}
	return r.statusWithoutReplicas()
}

// statusWithoutReplicas returns the status of an instance that has no replicas or
// whose loop does not respond.
func (r *Recorder) statusWithoutReplicas() Status {
	s := Status{Self: r.options.Self}
	r.client.mu.Lock()
	defer r.client.mu.Unlock()
	for i := range r.options.Groups {
		id := redwingshunt.GroupID(i)
		s.Groups = append(s.Groups, GroupStatus{Group: id, Leader: r.client.leaders[id], Commit: r.client.commits[id]})
	}
	return s
}

func (r *Recorder) status() Status {
	s := Status{Self: r.options.Self, Folder: r.self.Folder, Start: r.journal.Start()}
	for _, g := range r.orderedGroups() {
		s.Groups = append(s.Groups, g.status())
	}
	return s
}

func (g *group) status() GroupStatus {
	s := g.core.Status()
	status := GroupStatus{
		Group: g.id, Role: s.Role, Leader: s.Leader.Instance, Term: s.Term, Commit: s.Commit, Last: s.Last,
		Snapshot: s.Snapshot, Sessions: len(g.sessions.byNumber), Pending: s.Pending, Lost: s.Lost, Current: s.Current,
	}
	for _, member := range s.Membership {
		m := MemberStatus{Instance: member.ID.Instance, Folder: member.ID.Folder, Voter: member.Voter}
		for _, known := range s.Members {
			if known.ID == member.ID {
				m.Alive, m.Lag = known.Alive, known.Lag
			}
		}
		status.Members = append(status.Members, m)
	}
	return status
}

// Dump returns the status. It implements redwingshunt.Dumper.
func (r *Recorder) Dump() any { return r.Status() }
