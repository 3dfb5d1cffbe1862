package recorder

import (
	"context"
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
	options Options
	client  *client

	// What follows belongs to the goroutine of Run.

	journal *journaler.Journal // nil without a folder; used by the writer once Run has begun
	self    replicator.MemberID
	groups  map[redwingshunt.GroupID]*group
	post    *post
	windows map[redwingshunt.InstanceID]*window
	queue   []job // waits for the writer
	locator *locator.Locator
	located time.Time // when the regions of the leaders were last looked at
	writing bool
	seeding bool // the first membership is being written
	failed  error

	calls   chan func() // into the loop
	jobs    chan []job
	results chan result
	done    chan struct{} // closed when Run has ended
}

// job is something for the writer to do.
type job struct {
	record *journaler.Record
	load   *group                    // whose snapshot to read
	then   func(replicator.Snapshot) // in the loop, when it is done
}

// result tells what became of jobs.
type result struct {
	jobs      []job
	snapshots []replicator.Snapshot
	err       error
}

// Run takes part in the groups until ctx ends, then hands over the groups that
// this instance leads. It returns ErrFolderLost, an error of the disk, or nil.
func (r *Recorder) Run(ctx context.Context) error {
	defer close(r.done)
	if r.journal == nil {
		<-ctx.Done()
		return nil
	}
	go r.write()
	defer r.close()
	if r.options.Bootstrap {
		go r.bootstrap(ctx, r.options.Initial)
	}
	r.loop(ctx.Done(), func() bool { return false })
	if r.failed != nil {
		return trace.Wrap(r.failed)
	}
	r.handOver()
	return nil
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

// handOver lets other voters lead before this one stops.
func (r *Recorder) handOver() {
	for _, g := range r.ordered() {
		g.step(replicator.TransferProposed{})
	}
	expired := make(chan struct{})
	timer := time.AfterFunc(transferTimeout, func() { close(expired) })
	defer timer.Stop()
	r.loop(expired, func() bool { return !r.leads() })
}

// leads reports whether this instance leads a group of several voters.
func (r *Recorder) leads() bool {
	for _, g := range r.groups {
		if s := g.core.Status(); s.Role == replicator.RoleLeader && s.Membership.Voters() > 1 {
			return true
		}
	}
	return false
}

// loop handles events until it is stopped, has failed or is finished.
func (r *Recorder) loop(stop <-chan struct{}, finished func() bool) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for r.failed == nil && !finished() {
		select {
		case <-stop:
			return
		case call := <-r.calls:
			call()
			r.drain()
		case result := <-r.results:
			r.finish(result)
		case <-timer.C:
		}
		timer.Reset(r.turn())
	}
}

// drain handles the events that wait already, so that they share messages and
// writes.
func (r *Recorder) drain() {
	for range queueLength {
		select {
		case call := <-r.calls:
			call()
		default:
			return
		}
	}
}

// turn does what is due, lets messages and writes go and returns the time until
// something will be due.
func (r *Recorder) turn() time.Duration {
	for _, g := range r.ordered() {
		g.offer()
		g.step(replicator.Tick{})
		if g.core.Voter() {
			r.client.setLeader(g.id, g.core.Leader().Instance)
		}
	}
	r.locate()
	r.sendBatches()
	r.startWriting()
	wait := replicator.HeartbeatPeriod
	now := r.options.Clock.Now()
	for _, g := range r.groups {
		wait = min(wait, g.core.Deadline().Sub(now))
	}
	return max(wait, time.Millisecond)
}

// ordered returns the groups by number.
func (r *Recorder) ordered() []*group {
	groups := make([]*group, 0, len(r.groups))
	for i := range r.options.Groups {
		if g := r.groups[redwingshunt.GroupID(i)]; g != nil {
			groups = append(groups, g)
		}
	}
	return groups
}

// do runs a function in the loop, and reports whether it could.
func (r *Recorder) do(ctx context.Context, call func()) error {
	if r.journal == nil {
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

// try runs a function in the loop unless too many wait already. It never
// blocks.
func (r *Recorder) try(call func()) {
	select {
	case r.calls <- call:
	default:
	}
}

// persist queues a write. then runs once it is synced.
func (r *Recorder) persist(g *group, p replicator.Persist, then func()) {
	record := &journaler.Record{Group: g.id, Persist: p}
	r.queue = append(r.queue, job{record: record, then: func(replicator.Snapshot) { then() }})
}

// startWriting gives the writer what has queued up while it was busy.
func (r *Recorder) startWriting() {
	if r.writing || len(r.queue) == 0 {
		return
	}
	r.writing = true
	r.jobs <- r.queue
	r.queue = nil
}

// write does jobs until there are no more; it runs in a goroutine of its own.
func (r *Recorder) write() {
	for jobs := range r.jobs {
		res := result{jobs: jobs, snapshots: make([]replicator.Snapshot, len(jobs))}
		var records []journaler.Record
		for _, j := range jobs {
			if j.record != nil {
				records = append(records, *j.record)
			}
		}
		if len(records) > 0 {
			res.err = r.journal.Write(records)
		}
		for i, j := range jobs {
			if j.load != nil && res.err == nil {
				res.snapshots[i], res.err = r.journal.ReadSnapshot(j.load.id)
			}
		}
		r.results <- res
	}
}

// finish tells the groups that their writes are synced.
func (r *Recorder) finish(res result) {
	r.writing = false
	if res.err != nil {
		r.fail(res.err)
		return
	}
	for i, j := range res.jobs {
		j.then(res.snapshots[i])
	}
}

// fail ends Run: after a failed write nothing may be promised any more.
func (r *Recorder) fail(err error) {
	if r.failed == nil {
		r.failed = err
	}
}
