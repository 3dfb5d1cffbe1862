package administrator

// Routes that change state.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/redwingshunt/redwingshunt"
)

const (
	maxDocumentBytes     = 8 << 20          // of a submitted text
	maxBodyBytes         = 64 << 10         // of any other request body
	submitTimeout        = 15 * time.Second // of one submission
	maxSubmissionIDBytes = 128
	pollInterval         = 200 * time.Millisecond // between reads of the membership
)

// putDocument submits a section or the whole document.
func (s *server) putDocument(w http.ResponseWriter, r *http.Request) error {
	if s.parts.Submitter == nil {
		return notAvailable("submitter; its document is a file named in the settings")
	}
	submission, err := readSubmission(w, r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	receipt, err := s.parts.Submitter.Submit(ctx, submission)
	if err != nil {
		return err
	}
	if problem := refusal(receipt, submission.DryRun); problem != nil {
		return problem
	}
	writeJSON(w, http.StatusOK, receipt)
	return nil
}

// readSubmission reads the submission from a request.
func readSubmission(w http.ResponseWriter, r *http.Request) (redwingshunt.Submission, error) {
	base, err := readBase(r)
	if err != nil {
		return redwingshunt.Submission{}, err
	}
	id := r.Header.Get("Idempotency-Key")
	if id == "" || len(id) > maxSubmissionIDBytes {
		return redwingshunt.Submission{}, invalid("the header Idempotency-Key is missing or too long",
			"give each submission an ID of its own, and a resend the same")
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	if err != nil {
		return redwingshunt.Submission{}, err
	}
	return redwingshunt.Submission{
		ID: id, Team: teamOf(r).Name, Section: redwingshunt.Section(mux.Vars(r)["section"]),
		Base: base, Text: text, DryRun: r.URL.Query().Get("dry") == "true",
	}, nil
}

// readBase returns the base revision in the If-Match header.
func readBase(r *http.Request) (redwingshunt.Revision, error) {
	text := r.Header.Get("If-Match")
	if text == "" {
		return 0, &Problem{
			Status: http.StatusPreconditionRequired, Reason: ReasonInvalid,
			Detail: "the header If-Match is missing",
			Next:   `give the ETag of the text that was edited, or "0" for the first document`,
		}
	}
	base, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	if err != nil {
		return 0, invalid("If-Match is "+strconv.Quote(text), "give the ETag of the text that was edited")
	}
	return redwingshunt.Revision(base), nil
}

// refusal returns the problem for a refused submission, or nil.
func refusal(receipt redwingshunt.Receipt, dryRun bool) *Problem {
	switch {
	case len(receipt.Findings) > 0:
		return &Problem{
			Status: http.StatusUnprocessableEntity, Reason: ReasonFindings,
			Detail: "findings in the text: " + strconv.Itoa(len(receipt.Findings)),
			Next:   "correct the text and submit it again", Receipt: &receipt,
		}
	case receipt.Accepted, dryRun && receipt.Conflict == "":
		return nil
	}
	return &Problem{
		Status: http.StatusPreconditionFailed, Reason: ReasonConflict,
		Detail: "the section changed since the base: " + receipt.Conflict,
		Next:   "see redwingshunt diff, merge the change into the text and submit it again", Receipt: &receipt,
	}
}

func (s *server) postDrain(w http.ResponseWriter, _ *http.Request) error {
	if s.parts.Drainer == nil {
		return notAvailable("graceful shutdown")
	}
	s.parts.Drainer.Drain()
	writeJSON(w, http.StatusAccepted, Draining{Draining: true})
	return nil
}

// postReplace streams one Step per line while the replacement is in progress.
func (s *server) postReplace(w http.ResponseWriter, r *http.Request) error {
	if s.parts.Repairer == nil {
		return notAvailable("durable log")
	}
	var replacement Replacement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&replacement); err != nil {
		return invalid(err.Error(), `send {"lost": NAME, "with": NAME}`)
	}
	if replacement.With == "" {
		return invalid("the replacement is missing",
			"name an instance with an empty data folder; the lost one itself, if it is back without its disk")
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	encoder := json.NewEncoder(w)
	flush := http.NewResponseController(w).Flush
	err := s.replace(r.Context(), replacement, func(text string) {
		_ = encoder.Encode(Step{Text: text}) // the replacement continues after the caller has disconnected
		_ = flush()
	})
	last := Step{Done: err == nil}
	if err != nil {
		last.Problem = problemOf(err)
	}
	_ = encoder.Encode(last)
	return nil
}

// replace replaces a voter and calls report with the membership at the start and
// after each change of it.
func (s *server) replace(ctx context.Context, replacement Replacement, report func(text string)) error {
	done := make(chan error, 1)
	go func() { done <- s.parts.Repairer.Replace(ctx, replacement.Lost, replacement.With) }()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	reported := ""
	for {
		if text := s.describeMembers(); text != reported {
			reported = text
			report(text)
		}
		select {
		case err := <-done:
			if text := s.describeMembers(); text != reported {
				report(text)
			}
			return err
		case <-ticker.C:
		}
	}
}

// describeMembers describes the members of all logs. Logs with the same members are
// listed together.
func (s *server) describeMembers() string {
	if s.parts.Log == nil {
		return ""
	}
	groups := make(map[string][]string)
	var order []string
	for _, l := range s.parts.Log.Logs() {
		text := fmt.Sprintf("voters %v, catching up %v", l.Voters(), l.Learners())
		if groups[text] == nil {
			order = append(order, text)
		}
		groups[text] = append(groups[text], fmt.Sprint(l.Group))
	}
	for i, text := range order {
		order[i] = "log " + strings.Join(groups[text], " ") + ": " + text
	}
	return strings.Join(order, "; ")
}
