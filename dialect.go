package redwingshunt

import (
	"net/http"
	"strings"
)

// Dialect holds the names of the headers exchanged with callers and upstreams of
// routes. A header with an empty name is not used.
type Dialect struct {
	Request   string   // request ID; echoed by the upstream
	Deadline  string   // remaining time in milliseconds
	Key       string   // key of the client account
	Account   string   // to upstreams: name of the client account
	Expect    string   // to upstreams: ID of the upstream that the request is meant for
	NotRun    string   // from upstreams: whether the request was executed
	NotRunAs  string   // value of NotRun for a request that was not executed; empty accepts any value
	Signature string   // from upstreams: set on each response that the upstream generated
	Leaving   string   // from upstreams: set on each response while the upstream accepts no new requests
	LeavingAs string   // value of Leaving for an upstream that accepts no new requests
	Load      string   // from upstreams: numbers of running and waiting requests and of slots, and pace in percent; see ParseLoad
	LoadPaced bool     // loads without a pace are not used
	Prompt    string   // prompt parts as ID:TOKENS, separated by commas
	Count     string   // prompt tokens and maximum output tokens, separated by a comma
	Resumes   string   // from callers: ID of the request that began the stream which this one takes up
	Internal  []string // headers that callers must not set
}

// SaysNotRun reports whether a response header states that the upstream did not
// execute the request.
func (d Dialect) SaysNotRun(header http.Header) bool {
	if d.NotRun == "" {
		return false
	}
	value := header.Get(d.NotRun)
	return value != "" && (d.NotRunAs == "" || strings.EqualFold(value, d.NotRunAs))
}

// SaysLeaving reports whether a response header states that the upstream accepts
// no new requests.
func (d Dialect) SaysLeaving(header http.Header) bool {
	return d.Leaving != "" && strings.EqualFold(header.Get(d.Leaving), d.LeavingAs)
}

// DefaultDialect returns the header names that the router uses by default.
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
		Load:      "Redwingshunt-Load",
		Prompt:    "Redwingshunt-Prompt",
		Count:     "Redwingshunt-Tokens",
		Resumes:   HeaderResumes,
	}
}
