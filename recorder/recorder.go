package recorder

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/journaler"
	"github.com/redwingshunt/redwingshunt/locator"
	"github.com/redwingshunt/redwingshunt/replicator"
)

// Recorder runs the replicated logs of one instance. It implements
// redwingshunt.Log and redwingshunt.Dumper.
type Recorder struct {
	options  Options
	client   *client
	identity atomic.Pointer[identity] // nil without a folder; changed by the goroutine of Run

	// The fields below are owned by the goroutine of Run.

	journal       *journaler.Journal // nil without a folder; used by the writer once Run has begun
	self          replicator.MemberID
	groups        map[redwingshunt.GroupID]*group
	batcher       *batcher
	windows       map[redwingshunt.InstanceID]*requestWindow
	queue         []job // jobs that wait for the writer
	locator       *locator.Locator
	lastHomeCheck time.Time // last run of transferToHome
	writing       bool
	seeding       bool // the initial membership is being written
	failed        error
	reopened      chan struct{} // closed once Run has opened a new folder; nil if it ends with the folder instead
	jobs          chan []job
	results       chan result

	calls chan func()   // functions to run in the loop
	done  chan struct{} // closed when Run has ended
}

// identity is the folder of this instance.
type identity struct {
	self      replicator.MemberID
	start     uint64 // number of this start on the folder
	successor bool   // see journaler.Journal.Successor
}

// job is a write for the writer goroutine, or only a call after the writes before it.
type job struct {
	record *journaler.Record // nil for a call
	onDone func()            // runs in the loop when the job is done
}

// result is the outcome of a list of jobs.
type result struct {
	jobs []job
	err  error
}

// Run takes part in the groups until ctx ends or the log fails, then transfers the
// leadership of the groups that this instance leads. It returns ErrFolderLost, another
// error that stopped the log, or nil.
func (r *Recorder) Run(ctx context.Context) error {
	defer close(r.done)
	if !r.hasFolder() {
		<-ctx.Done()
		return nil
	}
	running, stop := context.WithCancel(ctx)
	defer stop()
	if r.options.Bootstrap {
		go r.bootstrap(running, r.options.Initial)
	}
	go r.queryMembership(running)
	r.serve(ctx)
	for r.reopened != nil && errors.Is(r.failed, ErrFolderLost) && ctx.Err() == nil {
		if err := r.reopen(); err != nil {
			return trace.Wrap(err)
		}
		r.serve(ctx)
	}
	return trace.Wrap(r.failed)
}

// serve takes part in the groups with the open folder until ctx ends or the log fails.
func (r *Recorder) serve(ctx context.Context) {
	go runWriter(r.journal, r.jobs, r.results)
	defer r.close()
	r.loop(ctx.Done(), func() bool { return r.failed != nil })
	r.transferLeadership()
}

// close stops the writer and releases the folder.
func (r *Recorder) close() {
	if r.writing {
		<-r.results
	}
	close(r.jobs)
	if err := r.journal.Close(); err != nil {
		r.options.Logger.Warn("closing the journal failed", "error", err)
	}
}

// transferLeadership transfers leadership to other voters before this one stops.
// It waits at most transferTimeout. That is safe after a failed write too: what is not
// written is not acknowledged, and the others vote by their own logs.
func (r *Recorder) transferLeadership() {
	for _, g := range r.orderedGroups() {
		g.step(replicator.TransferProposed{})
	}
	expired := make(chan struct{})
	timer := time.AfterFunc(transferTimeout, func() { close(expired) })
	defer timer.Stop()
	r.loop(expired, func() bool { return !r.leads() })
}

// leads reports whether this instance leads a group that has other voters.
func (r *Recorder) leads() bool {
	for _, g := range r.groups {
		if s := g.core.Status(); s.Role == replicator.RoleLeader && s.Membership.Voters() > 1 {
			return true
		}
	}
	return false
}

// loop handles events until stop is closed or finished returns true.
func (r *Recorder) loop(stop <-chan struct{}, finished func() bool) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !finished() {
		select {
		case <-stop:
			return
		case call := <-r.calls:
			call()
			r.drainCalls()
		case result := <-r.results:
			r.completeJobs(result)
		case <-timer.C:
		}
		timer.Reset(r.processDue())
	}
}

// drainCalls handles the calls that are queued already, so that they share
// messages and writes.
func (r *Recorder) drainCalls() {
	for range callQueueLength {
		select {
		case call := <-r.calls:
			call()
		default:
			return
		}
	}
}

// processDue handles what is due in all groups, sends queued messages, starts
// queued writes and returns the time until something is due again.
func (r *Recorder) processDue() time.Duration {
	for _, g := range r.orderedGroups() {
		g.proposeQueued()
		g.step(replicator.Tick{})
		if g.core.Voter() {
			r.client.setLeader(g.id, g.core.Leader().Instance)
		}
	}
	r.transferToHome()
	r.sendBatches()
	r.startWriting()
	wait := replicator.HeartbeatPeriod
	now := r.options.Clock.Now()
	for _, g := range r.groups {
		wait = min(wait, g.core.Deadline().Sub(now))
	}
	return max(wait, time.Millisecond)
}

// orderedGroups returns the groups in the order of their numbers.
func (r *Recorder) orderedGroups() []*group {
	groups := make([]*group, 0, len(r.groups))
	for i := range r.options.Groups {
		if g := r.groups[redwingshunt.GroupID(i)]; g != nil {
			groups = append(groups, g)
		}
	}
	return groups
}

// runInLoop queues a function for the loop. It blocks while the queue is full, and
// returns an error if the function cannot run.
func (r *Recorder) runInLoop(ctx context.Context, call func()) error {
	if !r.hasFolder() {
		return errNoFolder
	}
	select {
	case <-r.done:
		return errStopped
	default:
	}
	select {
	case r.calls <- call:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return errStopped
	}
}

// tryRunInLoop queues a function for the loop, or drops it if the queue is full.
// It never blocks.
func (r *Recorder) tryRunInLoop(call func()) {
	select {
	case r.calls <- call:
	default:
	}
}

// persist queues a write. onDone runs in the loop once the write is synced.
func (r *Recorder) persist(g *group, p replicator.Persist, onDone func()) {
	record := &journaler.Record{Group: g.id, Persist: p}
	r.queue = append(r.queue, job{record: record, onDone: onDone})
}

// startWriting passes the queued jobs to the writer unless it is busy.
func (r *Recorder) startWriting() {
	if r.writing || len(r.queue) == 0 {
		return
	}
	r.writing = true
	r.jobs <- r.queue
	r.queue = nil
}

// runWriter executes jobs until the channel is closed; it runs in its own
// goroutine. All records of one list share one sync.
func runWriter(journal *journaler.Journal, lists <-chan []job, results chan<- result) {
	for jobs := range lists {
		res := result{jobs: jobs}
		var records []journaler.Record
		for _, j := range jobs {
			if j.record != nil {
				records = append(records, *j.record)
			}
		}
		if len(records) > 0 {
			res.err = journal.Write(records)
		}
		results <- res
	}
}

// completeJobs notifies the groups that their jobs are done.
func (r *Recorder) completeJobs(res result) {
	r.writing = false
	if res.err != nil {
		r.fail(res.err)
		return
	}
	for _, j := range res.jobs {
		j.onDone()
	}
}

// fail stops Run. After a failed write the replica must not acknowledge anything
// more.
func (r *Recorder) fail(err error) {
	if r.failed == nil {
		r.failed = err
	}
}
