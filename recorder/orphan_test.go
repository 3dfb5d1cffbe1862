package recorder

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/replicator"
	"github.com/redwingshunt/redwingshunt/replicator/encoder"
	"github.com/redwingshunt/redwingshunt/wire"
)

// orphanTime is the time in which a folder that was removed without a notice must give up
// its vote.
const orphanTime = 10 * time.Second

// change requests one change of the membership of the control group until its leader
// accepts it.
func (n *network) change(t *testing.T, change *wire.LogChange) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	p := &replacement{recorder: n.running["router"].Recorder}
	for p.askLeader(ctx, &wire.LogRequest{Change: change}).GetOutcome() != wire.LogOutcome_LOG_OUTCOME_APPLIED {
		is.New(t).NoErr(ctx.Err())
		redwingshunt.Pause(ctx, membershipPollDelay)
	}
}

// joinsAgain checks that the folder of an instance has lost its vote, and that the
// instance can take the seat of a voter after its next start.
func (n *network) joinsAgain(t *testing.T, name, lost redwingshunt.InstanceID) {
	is := is.New(t)
	time.Sleep(orphanTime)
	select {
	case err := <-n.running[name].ended:
		is.True(errors.Is(err, ErrFolderLost))
	default:
		t.Fatalf("%s still uses a folder that is no member", name)
	}
	n.removeMember(name)
	n.start(name)
	n.crash(lost)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	is.NoErr(n.running[name].Join(ctx, lost, wantedVoters))
}

// TestRemovedLearnerCanJoinAgain guards against spare instances that are used up one by
// one: a learner with state that is removed before its promotion must become able to
// take a seat again.
func TestRemovedLearnerCanJoinAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := emptyNetwork(t, 1)
		n.groups = 1
		for _, name := range []redwingshunt.InstanceID{"a", "b", "c", "d", "router"} {
			n.start(name)
		}
		time.Sleep(10 * time.Second)
		learner := replicator.MemberID{Instance: "d", Folder: n.running["d"].self.Folder}
		n.change(t, &wire.LogChange{Add: encoder.Member(replicator.Member{ID: learner})})
		for seeded := false; !seeded; time.Sleep(time.Millisecond) {
			var err error
			seeded, err = n.running["d"].Seeded(t.Context())
			is.New(t).NoErr(err)
		}
		n.isolate("d", true)
		n.change(t, &wire.LogChange{Remove: encoder.Member(replicator.Member{ID: learner})})
		n.isolate("d", false)
		n.joinsAgain(t, "d", "c")
	})
}

// TestVoterOfReplacedMembersCanJoinAgain guards against a voter that campaigns for ever
// at members that are gone: all voters are replaced while it is away.
func TestVoterOfReplacedMembersCanJoinAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := emptyNetwork(t, 1)
		for _, name := range []redwingshunt.InstanceID{"a", "b", "c", "d", "e", "f", "router"} {
			n.start(name)
		}
		time.Sleep(10 * time.Second)
		n.crash("a")
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		for _, pair := range [][2]redwingshunt.InstanceID{{"a", "d"}, {"b", "e"}, {"c", "f"}} {
			is.New(t).NoErr(n.running["router"].Replace(ctx, pair[0], pair[1]))
		}
		n.start("a")
		n.joinsAgain(t, "a", "f")
	})
}

// TestOrphanKeepsVoteWithoutLeader isolates two of three voters. None of them may give
// up its vote, however long it hears of no leader.
func TestOrphanKeepsVoteWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 1, "a", "b", "c", "router")
		n.isolate("a", true)
		n.isolate("b", true)
		time.Sleep(time.Minute)
		n.isolate("a", false)
		n.isolate("b", false)
		_, err := n.propose("router", "+", 10*time.Second)
		is.NoErr(err)
		is.NoErr(n.checkVoters("c", "a", "b", "c"))
	})
}
