// Package submitter commits changes of the document through the replicated log
// and reads its history. It works on every instance, voter or not.
//
// A submission whose outcome is unknown, because the leader or the reply was
// lost, is retried with the same ID until the outcome is known or the context is
// done. The registrar replies to a repeated ID with its first reply, so a retry
// never executes a change twice.
//
// A change is first checked against the configuration in force on this instance.
// This configuration may be stale, and the submission may be a retry of one that was
// accepted, so a dry run through the log must confirm a refusal.
//
// # Usage
//
//	s := submitter.New(submitter.Options{Log: log, View: subscriber, Clock: clock, Section: parser.Section, Logger: logger})
//	receipt, err := s.Submit(ctx, submission) // nil error: committed or refused
//	changes, err := s.Changes(ctx, 20, 0)     // newest first
//	part, err := s.Text(ctx, redwingshunt.SectionAccounts, 7)
package submitter

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/merger"
	"github.com/redwingshunt/redwingshunt/registrar"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	attemptTimeout = 3 * time.Second       // of one proposal to the log
	minRetryDelay  = 50 * time.Millisecond // before the first retry
	maxRetryDelay  = time.Second           // between retries
)

// View is the configuration in force on this instance. subscriber.Subscriber
// implements it.
type View interface {
	Current() *redwingshunt.Snapshot
	Part(section redwingshunt.Section) merger.Part
	Evacuations() registrar.Evacuations
}

// Options configures a submitter.
type Options struct {
	Log     redwingshunt.Log
	View    View
	Clock   redwingshunt.Clock
	Section registrar.SectionFunc
	Logger  *slog.Logger
}

// Submitter implements redwingshunt.Submitter.
type Submitter struct {
	options Options
	pending atomic.Int64
	closed  atomic.Bool
}

var _ redwingshunt.Submitter = (*Submitter)(nil)

// New returns a submitter.
func New(options Options) *Submitter { return &Submitter{options: options} }

// Submit returns once the change is committed by a quorum or refused. An error
// that wraps redwingshunt.ErrUnknown means that the change may still be accepted;
// a retry with the same ID returns the outcome.
func (s *Submitter) Submit(ctx context.Context, submission redwingshunt.Submission) (redwingshunt.Receipt, error) {
	if !submission.DryRun && s.likelyRefused(submission) {
		trial := submission
		trial.DryRun = true
		receipt, err := s.propose(ctx, trial)
		if err != nil || receipt.Repeated || receipt.Conflict != "" || len(receipt.Findings) > 0 {
			return receipt, err
		}
	}
	return s.propose(ctx, submission)
}

// Replace changes the whole document under the highest-version rule and returns
// once the change is committed, superseded or invalid. After an error that wraps
// redwingshunt.ErrUnknown it may still take effect; a retry is safe.
func (s *Submitter) Replace(ctx context.Context, text []byte) (redwingshunt.Replacement, error) {
	command, err := registrar.Replace(s.options.Clock.Now(), text)
	if err != nil {
		return redwingshunt.Replacement{}, trace.Wrap(err)
	}
	reply, err := s.commit(ctx, command)
	if err != nil {
		return redwingshunt.Replacement{}, err
	}
	return registrar.Replaced(reply), nil
}

// Pending returns the number of changes and reads that wait for the log.
func (s *Submitter) Pending() int { return int(s.pending.Load()) }

// Close makes all later changes and reads fail with redwingshunt.ErrNotCommitted. Those
// that are pending continue.
func (s *Submitter) Close() { s.closed.Store(true) }

// likelyRefused reports whether the change would be refused according to the
// configuration in force on this instance, which may be stale.
func (s *Submitter) likelyRefused(submission redwingshunt.Submission) bool {
	snapshot := s.options.View.Current()
	if snapshot == nil || submission.Section == "" {
		return false
	}
	team, ok := teamOf(snapshot.Document, submission.Team)
	if !ok || !slices.Contains(team.Edits, submission.Section) {
		return true
	}
	_, findings := s.options.Section("-", submission.Section, submission.Text, snapshot.Document)
	return len(findings) > 0
}

func teamOf(document *redwingshunt.Document, id redwingshunt.TeamID) (redwingshunt.Team, bool) {
	teams := registrar.Teams(document)
	i := slices.IndexFunc(teams, func(t redwingshunt.Team) bool { return t.Name == id })
	if i < 0 {
		return redwingshunt.Team{}, false
	}
	return teams[i], true
}

// propose proposes a submission to the log until its outcome is known or ctx is
// done.
func (s *Submitter) propose(ctx context.Context, submission redwingshunt.Submission) (redwingshunt.Receipt, error) {
	var document *redwingshunt.Document
	if snapshot := s.options.View.Current(); snapshot != nil {
		document = snapshot.Document
	}
	team, _ := teamOf(document, submission.Team) // the registrar refuses an unknown team
	var base []byte
	if part := s.options.View.Part(submission.Section); part.Revision != 0 && part.Revision == submission.Base {
		base = part.Text
	}
	command, err := registrar.Submit(s.options.Clock.Now(), submission, team.Key, base)
	if err != nil {
		return redwingshunt.Receipt{}, trace.Wrap(err)
	}
	reply, err := s.commit(ctx, command)
	if err != nil {
		return redwingshunt.Receipt{}, err
	}
	return registrar.Receipt(reply.GetReceipt()), nil
}

// commit proposes a command until a reply arrives or ctx is done. The command must
// be idempotent, since a retry may execute it again.
func (s *Submitter) commit(ctx context.Context, command []byte) (*wire.RegistrarReply, error) {
	s.pending.Add(1)
	defer s.pending.Add(-1)
	if s.closed.Load() {
		return nil, trace.Wrap(redwingshunt.ErrNotCommitted)
	}
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = minRetryDelay, maxRetryDelay
	unknown := false
	for {
		answer, err := s.attempt(ctx, command)
		if err == nil {
			return registrar.Reply(answer)
		}
		unknown = unknown || !errors.Is(err, redwingshunt.ErrNotCommitted)
		s.options.Logger.Warn("command of the control group failed; retrying", "error", err.Error())
		select {
		case <-ctx.Done():
			return nil, finalError(unknown, err)
		case <-time.After(delays.NextBackOff()):
		}
	}
}

// finalError returns the error of a command that is no longer retried. The error
// wraps redwingshunt.ErrUnknown if any attempt may have been committed.
func finalError(unknown bool, err error) error {
	if !unknown || errors.Is(err, redwingshunt.ErrUnknown) {
		return trace.Wrap(err)
	}
	return trace.Wrap(errors.Join(redwingshunt.ErrUnknown, err))
}

func (s *Submitter) attempt(ctx context.Context, command []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return s.options.Log.Propose(ctx, redwingshunt.GroupControl, command)
}
