package replicator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestMemberQuery asks the leader whether a replica is still a member. Only a replica whose
// removal is committed in the same log may lose its vote, and the leader must stay.
func TestMemberQuery(t *testing.T) {
	tests := map[string]struct {
		remove  bool // the replica is removed while it is isolated
		pending bool // the removal is not committed
		change  func(m *Message)
		revoked bool
	}{
		"member":              {},
		"removed":             {remove: true, revoked: true},
		"removal not final":   {remove: true, pending: true},
		"entry of other log":  {remove: true, change: func(m *Message) { m.LogTerm += 7 }},
		"more than committed": {remove: true, change: func(m *Message) { m.Index += 1000 }},
		"added by a later leader": {
			remove: true, change: func(m *Message) { m.Term += 7 },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newNetwork(t, 1, "a", "b", "c", "d")
			n.run(10 * time.Second)
			leader := n.leader()
			var removed *node
			for _, nd := range n.nodes {
				if nd != leader {
					removed = nd
				}
			}
			n.isolated[removed.id] = true
			n.run(5 * time.Second)
			if test.pending {
				for _, nd := range n.nodes {
					n.isolated[nd.id] = nd != leader
				}
			}
			if test.remove {
				n.step(leader, ChangeProposed{ID: 1, Change: Change{Remove: removed.id}})
				n.run(time.Second)
			}
			is.True(removed.core.LeaderSilent())
			var query Message
			for _, action := range removed.core.Step(n.now, LeaderFound{Leader: leader.id}) {
				if send, ok := action.(Send); ok && send.Message.Kind == MessageMemberQuery {
					query = send.Message
				}
			}
			is.Equal(query.To, leader.id)
			if test.change != nil {
				test.change(&query)
			}
			revoked := false
			for _, action := range leader.core.Step(n.now, Received{query}) {
				if send, ok := action.(Send); ok && send.Message.Kind == MessageRevoked {
					revoked = true
					n.step(removed, Received(send))
				}
			}
			is.Equal(revoked, test.revoked)
			is.Equal(removed.core.Status().Lost, test.revoked)
			is.Equal(leader.core.Status().Role, RoleLeader)
		})
	}
}
