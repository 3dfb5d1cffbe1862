package redwingshunt

// Dialect names the headers that callers and upstreams of routes use. An empty
// name leaves its header out.
type Dialect struct {
	Request   string   // identifies a request; echoed by the upstream
	Deadline  string   // time that is left, in milliseconds
	Key       string   // key of the client account
	Account   string   // to upstreams: name of the client account
	Expect    string   // to upstreams: identity of the one that is meant
	NotRun    string   // from upstreams: the request has not been run
	Signature string   // from upstreams: on each answer that they made
	Load      string   // from upstreams: running, waiting, slots
	Prompt    string   // parts of the prompt as ID:TOKENS, separated by commas
	Count     string   // tokens of the prompt and at most generated, separated by a comma
	Internal  []string // headers that callers may not set
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
		Signature: "Redwingshunt-Signature",
		Prompt:    "Redwingshunt-Prompt",
		Count:     "Redwingshunt-Tokens",
	}
}
