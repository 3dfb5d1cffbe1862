package daemon

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

// TestFailedLogAnswersChanges guards against calls of operators that get no answer: changes
// are in progress at a voter when its log stops, for example on a full disk.
func TestFailedLogAnswersChanges(t *testing.T) {
	const changes = 20
	is := is.New(t)
	parse := func(o *Options) {
		o.ParseDocument = func(_ string, text []byte) (*redwingshunt.Document, redwingshunt.Findings) {
			version, err := strconv.Atoi(string(text))
			if err != nil {
				return nil, redwingshunt.Findings{{Text: err.Error()}}
			}
			return &redwingshunt.Document{Version: uint64(version)}, nil
		}
	}
	var nodes []*node
	for _, s := range keeperSettings(t, 3) {
		nodes = append(nodes, runNode(t, s, parse))
	}
	eventually(t, func() bool { return agreeOnVoters(nodes, "keeper-a", "keeper-b", "keeper-c") })
	stopped := nodes[2]
	var group sync.WaitGroup
	errs := make(chan error, changes)
	for i := range changes {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
			defer cancel()
			_, err := stopped.Replace(ctx, fmt.Append(nil, i+1))
			errs <- err
		})
	}
	stopped.control.failed <- errors.New("no space left on device")
	group.Wait()
	close(errs)
	for err := range errs {
		is.True(err == nil || errors.Is(err, redwingshunt.ErrNotCommitted)) // refused if it came too late
	}
}
