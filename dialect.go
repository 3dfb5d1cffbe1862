package redwingshunt

import (
	"net/http"
	"strings"
)

// Dialect names the headers that callers and upstreams of routes use. An empty
// name leaves its header out.
type Dialect struct {
	Request   string   // identifies a request; echoed by the upstream
	Deadline  string   // time that is left, in milliseconds
	Key       string   // key of the client account
	Account   string   // to upstreams: name of the client account
	Expect    string   // to upstreams: identity of the one that is meant
	NotRun    string   // from upstreams: whether the request has been run
	NotRunAs  string   // value of NotRun that says it has not; any value does when empty
	Signature string   // from upstreams: on each answer that they made
	Leaving   string   // from upstreams: on each answer of one that takes no new work
	LeavingAs string   // value of Leaving that says so
	Load      string   // from upstreams: running, waiting, slots
	Prompt    string   // parts of the prompt as ID:TOKENS, separated by commas
	Count     string   // tokens of the prompt and at most generated, separated by a comma
	Internal  []string // headers that callers may not set
}

// SaysNotRun reports whether an upstream says in the header of its answer that
// it has not run the request.
func (d Dialect) SaysNotRun(header http.Header) bool {
	if d.NotRun == "" {
		return false
	}
	value := header.Get(d.NotRun)
	return value != "" && (d.NotRunAs == "" || strings.EqualFold(value, d.NotRunAs))
}

// SaysLeaving reports whether an upstream says in the header of its answer that
// it takes no new work.
func (d Dialect) SaysLeaving(header http.Header) bool {
	return d.Leaving != "" && strings.EqualFold(header.Get(d.Leaving), d.LeavingAs)
}

// DefaultDialect is the dialect of this project.
func DefaultDialect() Dialect {
	return Dialect{
		Request:   HeaderRequest,
		Deadline:  "Redwingshunt-Deadline",
		Key:       "Redwingshunt-Key",
		Account:   "Redwingshunt-Account",
		Expect:    "Redwingshunt-Upstream",
		NotRun:    HeaderBegun,
		NotRunAs:  "no",
		Signature: "Redwingshunt-Signature",
		Leaving:   "Redwingshunt-Leaving",
		LeavingAs: "yes",
		Prompt:    "Redwingshunt-Prompt",
		Count:     "Redwingshunt-Tokens",
	}
}
