package daemon

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/mimic"
)

// TestUpstreamsThatGoOnServeAgain guards against new requests that are refused although
// all upstreams have gone on after a silence.
func TestUpstreamsThatGoOnServeAgain(t *testing.T) {
	const callers = 16
	is := is.New(t)
	settings := testSettings(0, nil)
	settings.Document, settings.Data = "", t.TempDir()
	settings.Voters = []redwingshunt.InstanceID{settings.Name}
	settings.Routes, settings.Repeats = settings.Listen, redwingshunt.RepeatBudget{Extra: 1000}
	n := runNode(t, settings, func(o *Options) {
		o.ParseDocument = func(_ string, text []byte) (*redwingshunt.Document, redwingshunt.Findings) {
			document := silenceDocument()
			document.Version, _ = strconv.ParseUint(string(text), 10, 64)
			return document, nil
		}
	})
	eventually(t, func() bool {
		_, err := n.control.submitter.Replace(t.Context(), []byte("1"))
		return err == nil
	})
	eventually(t, func() bool { return n.configuration.Current() != nil })
	for i := range 2 {
		u, err := mimic.StartSilent(mimic.SilentOptions{
			ID: redwingshunt.UpstreamID(fmt.Sprint("u", i)), Dialect: redwingshunt.DefaultDialect(),
			Events: 5, Point: mimic.BeforeHead, For: 1300 * time.Millisecond, Times: callers,
		})
		is.NoErr(err)
		t.Cleanup(u.Stop)
		n.enroller.Enroll(u.State("engine", 1))
	}
	send := func(id string) error {
		connection, err := net.Dial("tcp", n.sockets.routes.Addr().String())
		if err != nil {
			return err
		}
		defer connection.Close()
		_ = connection.SetReadDeadline(time.Now().Add(20 * time.Second))
		_, err = (&silenceCaller{connection, bufio.NewReader(connection)}).send("resumable", id)
		return err
	}
	began := time.Now()
	var wait sync.WaitGroup
	for i := range callers {
		wait.Go(func() {
			if err := send(fmt.Sprint("r", i)); err != nil {
				t.Error(err)
			}
		})
	}
	time.Sleep(1350 * time.Millisecond) // they have gone on
	for i := range 20 {
		err := send(fmt.Sprint("late", i))
		if time.Since(began) > 2*time.Second && err != nil {
			t.Error(time.Since(began), err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	wait.Wait()
}
