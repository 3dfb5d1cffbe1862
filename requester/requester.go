// Package requester is a client of the administration API of one or more
// instances.
//
// A call tries the addresses in order until one answers. A submission has an
// idempotency key, its ID, so a retry at the next or the same address never applies
// it twice.
//
// # Usage
//
//	targets, err := requester.ParseTargets([]string{"https://10.0.0.1:8082"})
//	client := requester.New(requester.Options{Targets: targets, Key: key})
//	status, err := client.Status(ctx)
//
// If the instance refuses a call, the error is an *administrator.Problem; if no
// instance can be reached, it is an *UnreachableError. Both may be wrapped.
package requester

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/administrator"
)

const (
	headerTimeout    = 20 * time.Second // limit for the response header
	maxResponseBytes = 256 << 20        // limit of a response that is read into memory
)

// Target is the administration API of one instance.
type Target struct {
	Address netip.AddrPort
	Plain   bool // without TLS
}

// String returns the target as a URL that ParseTargets accepts.
func (t Target) String() string {
	if t.Plain {
		return "http://" + t.Address.String()
	}
	return "https://" + t.Address.String()
}

// ParseTargets parses addresses such as 10.0.0.1:8082 or https://10.0.0.1:8082.
// Only an address with the prefix http:// is called without TLS. An address that
// is not an IP address with a port is an error.
func ParseTargets(texts []string) ([]Target, error) {
	targets := make([]Target, 0, len(texts))
	for _, text := range texts {
		rest, plain := strings.CutPrefix(text, "http://")
		address, err := netip.ParseAddrPort(strings.TrimPrefix(rest, "https://"))
		if err != nil {
			return nil, trace.BadParameter("%q is no IP number with a port, as https://10.0.0.1:8082", text)
		}
		targets = append(targets, Target{Address: address, Plain: plain})
	}
	return targets, nil
}

// UnreachableError reports that no instance answered.
type UnreachableError struct {
	Target Target
	Err    error // of the last target
}

// Error returns the target and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", e.Target, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Options configures a client.
type Options struct {
	Targets []Target // tried in this order
	Key     string   // bearer key of a team
	TLS     *tls.Config
}

// Client calls the administration API.
type Client struct {
	targets []Target
	key     string
	http    *http.Client
}

// New returns a client.
func New(o Options) *Client {
	transport := &http.Transport{TLSClientConfig: o.TLS, ResponseHeaderTimeout: headerTimeout}
	return &Client{targets: o.Targets, key: o.Key, http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Each returns one client for each target.
func (c *Client) Each() []*Client {
	clients := make([]*Client, len(c.targets))
	for i, target := range c.targets {
		clients[i] = &Client{targets: []Target{target}, key: c.key, http: c.http}
	}
	return clients
}

// Target returns the first target.
func (c *Client) Target() Target { return c.targets[0] }

// call is one request to the API.
type call struct {
	method string
	path   string
	header http.Header
	body   []byte
}

// do tries the targets in order until one answers, and returns its response. A
// response with an error status is returned as an error. The caller closes the body
// of a successful response.
func (c *Client) do(ctx context.Context, call call) (*http.Response, error) {
	var last error
	for _, target := range c.targets {
		response, err := c.send(ctx, target, call)
		if err == nil {
			return response, problemOf(response)
		}
		var inner *url.Error
		if errors.As(err, &inner) {
			err = inner.Err // Target already names the address
		}
		last = &UnreachableError{Target: target, Err: err}
	}
	if last == nil {
		return nil, trace.BadParameter("no address of an instance is given")
	}
	return nil, last
}

// send sends a call to one target.
func (c *Client) send(ctx context.Context, target Target, call call) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, call.method, target.String()+call.path, bytes.NewReader(call.body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for name, values := range call.header {
		request.Header[name] = values
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	return c.http.Do(request)
}

// problemOf returns the problem of a response with an error status, and closes its
// body. It returns nil for other responses.
func problemOf(response *http.Response) error {
	if response.StatusCode < http.StatusBadRequest {
		return nil
	}
	defer response.Body.Close()
	problem := &administrator.Problem{}
	if err := json.NewDecoder(response.Body).Decode(problem); err != nil || problem.Reason == "" {
		return &administrator.Problem{
			Status: response.StatusCode, Reason: administrator.ReasonFailed,
			Detail: "the answer is " + response.Status,
			Next:   "check that the address is the administration API of an instance",
		}
	}
	return problem
}

// get requests a path and decodes the JSON response.
func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var value T
	response, err := c.do(ctx, call{method: http.MethodGet, path: path})
	if err != nil {
		return value, err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&value); err != nil {
		return value, trace.Wrap(err, "reading the answer")
	}
	return value, nil
}

// Status returns the state of the instance and of the fleet as the instance sees it.
func (c *Client) Status(ctx context.Context) (administrator.Status, error) {
	return get[administrator.Status](ctx, c, "/v1/status")
}

// Dump returns the internal state of the process.
func (c *Client) Dump(ctx context.Context) (administrator.Dump, error) {
	return get[administrator.Dump](ctx, c, "/v1/dump")
}

// Accounts returns the service status of the client accounts.
func (c *Client) Accounts(ctx context.Context) ([]administrator.AccountStatus, error) {
	return get[[]administrator.AccountStatus](ctx, c, "/v1/accounts")
}

// Upstreams returns the status of the upstreams.
func (c *Client) Upstreams(ctx context.Context) ([]administrator.UpstreamStatus, error) {
	return get[[]administrator.UpstreamStatus](ctx, c, "/v1/upstreams")
}

// Placement returns where the instance would place a request now, for each service of its
// route.
func (c *Client) Placement(ctx context.Context, query administrator.PlacementQuery) ([]administrator.Placement, error) {
	values := url.Values{
		"host": {query.Host}, "path": {query.Path}, "account": {string(query.Account)}, "prompt": {query.Prompt},
		"output": {strconv.FormatInt(query.Output, 10)},
	}
	return get[[]administrator.Placement](ctx, c, "/v1/placement?"+values.Encode())
}

// History returns at most limit changes, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]administrator.Change, error) {
	return get[[]administrator.Change](ctx, c, "/v1/history?limit="+strconv.Itoa(limit))
}

// Document returns the YAML of a section, or of the whole document if the section
// is empty, and its revision. Revision zero requests the one in force.
func (c *Client) Document(ctx context.Context, section redwingshunt.Section, revision redwingshunt.Revision) ([]byte, redwingshunt.Revision, error) {
	path := documentPath(section)
	if revision != 0 {
		path += "?revision=" + revision.String()
	}
	response, err := c.do(ctx, call{method: http.MethodGet, path: path})
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, 0, trace.Wrap(err, "reading the answer")
	}
	number, err := strconv.ParseUint(strings.Trim(response.Header.Get("ETag"), `"`), 10, 64)
	return text, redwingshunt.Revision(number), trace.Wrap(err, "reading the revision")
}

// Submit submits a change. The instance derives the team from the key.
func (c *Client) Submit(ctx context.Context, s redwingshunt.Submission) (redwingshunt.Receipt, error) {
	path := documentPath(s.Section)
	if s.DryRun {
		path += "?dry=true"
	}
	header := http.Header{}
	header.Set("Content-Type", "application/yaml")
	header.Set("If-Match", strconv.Quote(s.Base.String()))
	header.Set("Idempotency-Key", s.ID)
	var receipt redwingshunt.Receipt
	response, err := c.do(ctx, call{method: http.MethodPut, path: path, header: header, body: s.Text})
	if err != nil {
		return receipt, err
	}
	defer response.Body.Close()
	err = json.NewDecoder(response.Body).Decode(&receipt)
	return receipt, trace.Wrap(err, "reading the receipt")
}

// documentPath returns the URL path of a section, or of the whole document if the
// section is empty.
func documentPath(section redwingshunt.Section) string {
	if section == "" {
		return "/v1/document"
	}
	return "/v1/document/" + string(section)
}

// Evacuate starts the evacuation of an availability zone, or ends it.
func (c *Client) Evacuate(ctx context.Context, zone redwingshunt.ZoneID, end bool) (redwingshunt.Evacuation, error) {
	order := call{method: http.MethodPut, path: "/v1/evacuations/" + url.PathEscape(string(zone))}
	if end {
		order.method = http.MethodDelete
	}
	var evacuation redwingshunt.Evacuation
	response, err := c.do(ctx, order)
	if err != nil {
		return evacuation, err
	}
	defer response.Body.Close()
	err = json.NewDecoder(response.Body).Decode(&evacuation)
	return evacuation, trace.Wrap(err, "reading the answer")
}

// Drain begins a graceful shutdown.
func (c *Client) Drain(ctx context.Context) error {
	response, err := c.do(ctx, call{method: http.MethodPost, path: "/v1/drain"})
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Replace replaces a lost voter and calls step with the text of each step.
func (c *Client) Replace(ctx context.Context, lost, with redwingshunt.InstanceID, step func(text string)) error {
	body, err := json.Marshal(administrator.Replacement{Lost: lost, With: with})
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := c.do(ctx, call{method: http.MethodPost, path: "/v1/voters/replace", body: body})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	steps := json.NewDecoder(response.Body)
	for {
		var s administrator.Step
		if err := steps.Decode(&s); err != nil {
			return trace.Wrap(err, "the answer ended before the replacement")
		}
		switch {
		case s.Problem != nil:
			return s.Problem
		case s.Done:
			return nil
		}
		step(s.Text)
	}
}

// Backup copies the committed state to w and returns the number of bytes written.
func (c *Client) Backup(ctx context.Context, w io.Writer) (int64, error) {
	response, err := c.do(ctx, call{method: http.MethodGet, path: "/v1/backup"})
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	n, err := io.Copy(w, response.Body)
	return n, trace.Wrap(err)
}
