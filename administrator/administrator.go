// Package administrator serves the administration API of one instance: HTTP
// with JSON, and YAML for the document. Every verb of the command line that
// needs an instance goes through it.
//
// Each route of the table in routes.go names who may use it:
//
//   - anyone: health and metrics, which tell no content of the document;
//   - a reader: each team of the document, by its bearer key;
//   - an editor: a team that edits the section that is changed, or all sections
//     for a change of the whole document;
//   - an operator: a team that edits the section fleet.
//
// The bootstrap key of the settings may do everything as long as the document
// has no team or there is no document yet, and nothing afterwards.
//
// A refused or failed call answers with a Problem, which says what to do next.
// docs/API.md and docs/openapi.yaml describe the routes; a test compares them
// with the table.
//
// # Usage
//
// The parts that an instance has are plugged in; a route without its part
// answers 501 with the reason not-available:
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

// Parts are what the routes of one instance work on. Members and Configuration
// must be given; every other part may be absent.
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
	Dumpers       map[string]redwingshunt.Dumper // by the name of the part
	Drainer       Drainer
	Repairer      Repairer
	Archiver      Archiver
	Metrics       http.Handler
}

// Readiness tells whether the instance serves callers.
type Readiness interface {
	// Ready returns an empty text, or why the instance does not serve.
	Ready() string
}

// FleetReader tells what this instance knows of all live instances.
type FleetReader interface {
	// Fleet returns one entry a live instance, ordered by name.
	Fleet() []InstanceStatus
}

// LogReader tells the state of the replicated logs on this instance.
type LogReader interface {
	// Logs returns one entry a group; none on an instance that is no voter.
	Logs() []LogStatus
}

// TextReader tells the document in force as it was submitted, comments included.
// A subscriber.Subscriber is one. Without it, the document is written anew.
type TextReader interface {
	// Part returns the text of a section.
	Part(section redwingshunt.Section) merger.Part
	// Text returns the text of the whole document.
	Text() []byte
}

// HistoryReader tells the accepted changes of the document.
type HistoryReader interface {
	// Changes returns the newest changes, newest first, at most limit.
	Changes(ctx context.Context, limit int) ([]Change, error)
	// Text returns the document as it was at a revision, in YAML.
	Text(ctx context.Context, revision redwingshunt.Revision) ([]byte, error)
}

// AccountReader tells how the client accounts are served.
type AccountReader interface {
	// Accounts returns one entry an account and service that this instance knows,
	// ordered by both.
	Accounts() []AccountStatus
}

// UpstreamReader tells what is known of the upstreams.
type UpstreamReader interface {
	// Upstreams returns one entry an upstream, ordered by service and name; none
	// for a service that this instance does not own.
	Upstreams() []UpstreamStatus
}

// Drainer begins a graceful shutdown of this instance.
type Drainer interface {
	// Drain returns at once; the shutdown goes on.
	Drain()
}

// Repairer replaces voters. A recorder.Recorder is one.
type Repairer interface {
	// Replace makes fresh a voter and removes lost, which may be empty to only
	// add. It returns when that is committed; calling it again goes on.
	Replace(ctx context.Context, lost, fresh redwingshunt.InstanceID) error
}

// Archiver copies the state that must survive. A recorder.Recorder is one.
type Archiver interface {
	// Backup writes the committed state.
	Backup(w io.Writer) error
}

// server answers the routes.
type server struct {
	parts Parts
}

// New returns the handler of the administration API.
func New(parts Parts) http.Handler {
	s := &server{parts: parts}
	router := mux.NewRouter()
	for _, r := range s.routes() {
		router.Handle(r.path, s.guard(r)).Methods(r.method)
	}
	router.NotFoundHandler = handler(func(http.ResponseWriter, *http.Request) error {
		return &Problem{Status: http.StatusNotFound, Reason: ReasonNoRoute, Detail: "there is no such route", Next: "see docs/API.md"}
	})
	router.MethodNotAllowedHandler = handler(func(http.ResponseWriter, *http.Request) error {
		return &Problem{Status: http.StatusMethodNotAllowed, Reason: ReasonNoRoute, Detail: "the route has no such method", Next: "see docs/API.md"}
	})
	return router
}
