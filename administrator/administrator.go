// Package administrator serves the administration API of one instance: HTTP
// with JSON, and YAML for the document. Every command of the command line that
// needs an instance uses this API.
//
// Each route in the table of routes.go requires one of these permissions:
//
//   - anyone: health and metrics, which reveal nothing of the document;
//   - reader: any team of the document, identified by its bearer key;
//   - editor: a team that may edit the changed section, or all sections
//     for a change of the whole document;
//   - operator: a team that may edit the section fleet.
//
// The bootstrap key of the settings has every permission while there is no
// document or the document has no team, and none afterwards.
//
// The response to a refused or failed request is a Problem, which says what to do
// next.
// docs/API.md and docs/openapi.yaml describe the routes; a test compares them
// with the table.
//
// # Usage
//
// Each instance passes the components that it has. A route whose component is
// missing responds with 501 and the reason not-available:
//
//	handler := administrator.New(administrator.Parts{
//		Members:       members,
//		Configuration: configuration,
//		Submitter:     submitter,
//		Bootstrap:     settings.Bootstrap,
//	})
//	server := http.Server{Handler: handler}
package administrator

import (
	"context"
	"io"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/merger"
)

// Parts are the components that the routes of one instance use. Members and
// Configuration are required; all others are optional.
type Parts struct {
	Version       string // version of the program
	Members       redwingshunt.Members
	Configuration redwingshunt.Configuration
	Bootstrap     redwingshunt.KeyHash // key that may submit the first document
	Readiness     Readiness
	Fleet         FleetReader
	Log           LogReader
	Submitter     redwingshunt.Submitter
	Texts         TextReader
	History       HistoryReader
	Accounts      AccountReader
	Upstreams     UpstreamReader
	Placements    PlacementReader
	Dumpers       map[string]redwingshunt.Dumper // by component name
	Evacuator     Evacuator
	Drainer       Drainer
	Repairer      Repairer
	Archiver      Archiver
	Metrics       http.Handler
}

// Readiness reports whether the instance serves callers.
type Readiness interface {
	// Ready returns the reason why the instance does not serve, or "" if it does.
	Ready() string
}

// FleetReader reports what this instance knows about all live instances.
type FleetReader interface {
	// Fleet returns one entry per live instance, ordered by name.
	Fleet() []InstanceStatus
}

// LogReader reports the state of the replicated logs on this instance.
type LogReader interface {
	// Logs returns one entry per group; none on an instance that is not a voter.
	Logs() []LogStatus
}

// TextReader returns the document in force as it was submitted, including its
// comments. subscriber.Subscriber implements it. Without a TextReader, the document
// is encoded from its parsed form.
type TextReader interface {
	// Part returns the text of a section.
	Part(section redwingshunt.Section) merger.Part
	// Text returns the text of the whole document.
	Text() []byte
}

// HistoryReader returns the accepted changes of the document.
type HistoryReader interface {
	// Changes returns the newest changes, newest first, at most limit.
	Changes(ctx context.Context, limit int) ([]Change, error)
	// Text returns the document as it was at a revision, in YAML.
	Text(ctx context.Context, revision redwingshunt.Revision) ([]byte, error)
}

// AccountReader reports how the client accounts are served.
type AccountReader interface {
	// Accounts returns one entry per pair of account and service that this instance
	// knows, ordered by both.
	Accounts() []AccountStatus
}

// UpstreamReader reports the state of the upstreams.
type UpstreamReader interface {
	// Upstreams returns one entry per upstream, ordered by service and name; none
	// for a service that this instance does not own.
	Upstreams() []UpstreamStatus
}

// Drainer starts a graceful shutdown of this instance.
type Drainer interface {
	// Drain returns at once; the shutdown continues in the background.
	Drain()
}

// Repairer replaces voters. recorder.Recorder implements it.
type Repairer interface {
	// Replace makes fresh a voter and removes lost; an empty lost only adds. It
	// returns once the change is committed. A repeated call resumes a replacement
	// that was interrupted.
	Replace(ctx context.Context, lost, fresh redwingshunt.InstanceID) error
}

// Archiver backs up the durable state. recorder.Recorder implements it.
type Archiver interface {
	// Backup writes the committed state to w.
	Backup(w io.Writer) error
}

// server implements the routes.
type server struct {
	parts Parts
}

// New returns the handler of the administration API.
func New(parts Parts) http.Handler {
	s := &server{parts: parts}
	router := mux.NewRouter()
	for _, r := range s.routes() {
		router.Handle(r.path, s.authorize(r)).Methods(r.method)
	}
	router.NotFoundHandler = handler(func(http.ResponseWriter, *http.Request) error {
		return &Problem{Status: http.StatusNotFound, Reason: ReasonNoRoute, Detail: "there is no such route", Next: "see docs/API.md"}
	})
	router.MethodNotAllowedHandler = handler(func(http.ResponseWriter, *http.Request) error {
		return &Problem{Status: http.StatusMethodNotAllowed, Reason: ReasonNoRoute, Detail: "the route has no such method", Next: "see docs/API.md"}
	})
	return router
}
