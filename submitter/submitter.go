// Package submitter commits changes of the document through the replicated log
// and reads its history. It works on each instance, voter or not.
//
// A submission whose outcome is unknown, because the leader or the answer was
// lost, is sent again with the same ID until the outcome is known or the
// context ends. The registrar answers a repeated ID with the first answer, so
// that sending again never executes twice.
//
// A change is checked against the configuration in force on this instance
// first. That one may be behind, and the submission may be a resend, so a
// refusal counts only once the log has confirmed it; a dry run asks the log.
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
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/merger"
	"github.com/redwingshunt/redwingshunt/registrar"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	attemptTimeout = 3 * time.Second       // of one proposal
	firstWait      = 50 * time.Millisecond // before the second attempt
	longestWait    = time.Second           // between attempts
)

// View is the configuration in force on this instance; see subscriber.
type View interface {
	Current() *redwingshunt.Snapshot
	Part(section redwingshunt.Section) merger.Part
}

// Options configure a submitter.
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
}

var _ redwingshunt.Submitter = (*Submitter)(nil)

// New returns a submitter.
func New(options Options) *Submitter { return &Submitter{options: options} }

// Submit returns once the change is committed by a quorum or refused. An error
// that wraps redwingshunt.ErrUnknown means that it may still be accepted; a
// resend with the same ID tells.
func (s *Submitter) Submit(ctx context.Context, submission redwingshunt.Submission) (redwingshunt.Receipt, error) {
	if !submission.DryRun && s.doubtful(submission) {
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
// redwingshunt.ErrUnknown it may still take effect; sending it again is safe.
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

// doubtful reports whether the change looks wrong from here.
func (s *Submitter) doubtful(submission redwingshunt.Submission) bool {
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

// propose sends a submission until its outcome is known.
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

// commit proposes a command that may be executed twice, until it is answered.
func (s *Submitter) commit(ctx context.Context, command []byte) (*wire.RegistrarReply, error) {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval, waits.MaxInterval = firstWait, longestWait
	unknown := false
	for {
		answer, err := s.attempt(ctx, command)
		if err == nil {
			return registrar.Reply(answer)
		}
		unknown = unknown || !errors.Is(err, redwingshunt.ErrNotCommitted)
		s.options.Logger.Warn("command of the control group not answered; sent again", "error", err.Error())
		select {
		case <-ctx.Done():
			return nil, outcome(unknown, err)
		case <-time.After(waits.NextBackOff()):
		}
	}
}

// outcome returns what is known of a command that was given up.
func outcome(unknown bool, err error) error {
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
