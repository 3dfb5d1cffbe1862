package administrator

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/recorder"
)

// Reason is the machine-readable code of a problem.
type Reason string

// The reasons of the administration API.
const (
	ReasonNoRoute         Reason = "no-route"         // no such path or method
	ReasonUnauthorized    Reason = "unauthorized"     // no team has this key
	ReasonForbidden       Reason = "forbidden"        // the team may not do this
	ReasonNotAvailable    Reason = "not-available"    // the instance lacks the component
	ReasonNoConfiguration Reason = "no-configuration" // there is no document yet
	ReasonNoZone          Reason = "no-zone"          // the document has no such availability zone
	ReasonInvalid         Reason = "invalid"          // the request is malformed
	ReasonTooLarge        Reason = "too-large"        // the body exceeds the limit
	ReasonFindings        Reason = "findings"         // the text has findings
	ReasonConflict        Reason = "conflict"         // the section changed since the base
	ReasonFolderInUse     Reason = "folder-in-use"    // the data folder of the new voter already holds state
	ReasonNotCommitted    Reason = "not-committed"    // the change will never take effect
	ReasonUnknown         Reason = "unknown"          // the change may still take effect
	ReasonFailed          Reason = "failed"           // anything else
)

// Problem is the body of every error response.
type Problem struct {
	Status  int                   `json:"status"` // HTTP status code
	Reason  Reason                `json:"reason"`
	Detail  string                `json:"detail"`            // one sentence
	Next    string                `json:"next"`              // what to do next
	Receipt *redwingshunt.Receipt `json:"receipt,omitempty"` // of a refused submission
}

// Error returns the reason and the detail on one line.
func (p *Problem) Error() string { return fmt.Sprintf("%s: %s", p.Reason, p.Detail) }

// notAvailable returns the problem for a missing component.
func notAvailable(part string) *Problem {
	return &Problem{
		Status: http.StatusNotImplemented, Reason: ReasonNotAvailable,
		Detail: fmt.Sprintf("this instance has no %s", part),
		Next:   "ask an instance that has one, such as a voter",
	}
}

// invalid returns the problem for a malformed request.
func invalid(detail, next string) *Problem {
	return &Problem{Status: http.StatusBadRequest, Reason: ReasonInvalid, Detail: detail, Next: next}
}

// problemOf converts an error to a problem.
func problemOf(err error) *Problem {
	var problem *Problem
	var tooLarge *http.MaxBytesError
	var refused *redwingshunt.OutcomeError
	switch {
	case errors.As(err, &problem):
		return problem
	case errors.As(err, &tooLarge):
		return &Problem{
			Status: http.StatusRequestEntityTooLarge, Reason: ReasonTooLarge,
			Detail: fmt.Sprintf("the body exceeds %d bytes", tooLarge.Limit), Next: "submit the sections one by one",
		}
	case errors.As(err, &refused) && refused.Outcome == redwingshunt.OutcomeNotRun: // while its body was read
		return &Problem{
			Status: refused.Status, Reason: ReasonNotCommitted,
			Detail: refused.Detail, Next: "nothing was changed; try again, or at another instance",
		}
	case errors.Is(err, recorder.ErrFolderInUse):
		return &Problem{
			Status: http.StatusConflict, Reason: ReasonFolderInUse,
			Detail: err.Error(), Next: "start the new voter with an empty data folder",
		}
	case errors.Is(err, redwingshunt.ErrNotCommitted):
		return &Problem{
			Status: http.StatusServiceUnavailable, Reason: ReasonNotCommitted,
			Detail: err.Error(), Next: "nothing was changed; see redwingshunt status for the leader, then try again",
		}
	case errors.Is(err, redwingshunt.ErrUnknown):
		return &Problem{
			Status: http.StatusGatewayTimeout, Reason: ReasonUnknown,
			Detail: err.Error(), Next: "resend with the same submission ID: it is never applied twice",
		}
	}
	return &Problem{
		Status: http.StatusInternalServerError, Reason: ReasonFailed,
		Detail: err.Error(), Next: "see the log of the instance",
	}
}

// handler is an HTTP handler whose error is sent to the caller as a problem.
type handler func(w http.ResponseWriter, r *http.Request) error

// ServeHTTP implements http.Handler.
func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	err := h(w, r)
	if err == nil {
		return
	}
	problem := problemOf(err)
	if problem.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(1)) // seconds
	}
	writeJSON(w, problem.Status, problem)
}

// writeJSON sends value as the JSON body of a response.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // fails only if the caller has disconnected
}
