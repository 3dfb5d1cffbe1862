package recorder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

// TestReplacedFoundersFormNoSecondLog guards against a log that is formed anew beside the
// living one: all founders are replaced, start with new folders and are asked to form the
// log while its leader does not answer.
func TestReplacedFoundersFormNoSecondLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := emptyNetwork(t, 1)
		founders := []redwingshunt.InstanceID{"a", "b", "c"}
		successors := []redwingshunt.InstanceID{"d", "e", "f"}
		for _, name := range append(append([]redwingshunt.InstanceID{"router"}, founders...), successors...) {
			n.start(name)
		}
		time.Sleep(10 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		for i, name := range founders {
			is.NoErr(n.running["router"].Replace(ctx, name, successors[i]))
			time.Sleep(5 * time.Second) // the replaced voter loses its vote
			n.crash(name)
		}
		_, err := n.propose("router", "=7", 10*time.Second)
		is.NoErr(err)
		for _, name := range successors {
			n.isolate(name, true)
		}
		for _, name := range founders {
			n.start(name) // the first one bootstraps the log according to its options
		}
		forming, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		n.running["a"].Form(forming, founders)
		time.Sleep(10 * time.Second)
		for _, name := range founders {
			for _, g := range n.running[name].Status().Groups {
				is.Equal(len(g.Members), 0)
			}
		}
		for _, name := range successors {
			n.isolate(name, false)
		}
		value, err := n.propose("a", "read", 20*time.Second)
		is.NoErr(err)
		is.Equal(value, "7")
	})
}

// TestStoppedLogIsNoEmptyFolder forms the log while the log of a founder has stopped, for
// example on a full disk. The founder must not become a voter with an unknown folder.
func TestStoppedLogIsNoEmptyFolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := emptyNetwork(t, 1)
		n.explicitForm = true
		names := []redwingshunt.InstanceID{"a", "b", "c"}
		for _, name := range names {
			n.start(name)
		}
		n.running["b"].stop()
		is.NoErr(<-n.running["b"].ended) // it still answers that its log has stopped
		forming, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		n.running["a"].Form(forming, names)
		seeded, err := n.running["a"].Seeded(t.Context())
		is.NoErr(err)
		is.True(!seeded)
		n.crash("b")
		n.start("b")
		n.running["a"].Form(t.Context(), names)
		time.Sleep(10 * time.Second)
		is.NoErr(n.checkVoters("a", names...))
	})
}
