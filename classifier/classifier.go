// Package classifier determines from a request which service it addresses, its
// estimated cost, and whether it may run more than once.
//
// It accepts two forms of request. Chat completions for a model:
//
//	POST /v1/chat/completions   {"model": "assistant", "messages": [...]}
//
// and any method, path and body for a plain service:
//
//	POST /services/studio-desk/bookings/7
//
// # Usage
//
//	c := classifier.New(newID)
//	chain := redwingshunt.Chain(last, c.Filter)
package classifier

import (
	"context"
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/receiver"
)

// Paths under which callers reach services.
const (
	PathChat     = "/v1/chat/completions"
	PathServices = "/services/"
)

// plainEstimateMicroseconds is the estimate for a plain service that counts time.
const plainEstimateMicroseconds redwingshunt.Cost = 50_000

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 255

// Classifier sets Exchange.Service and Exchange.Request.
type Classifier struct {
	newID func() string
}

// New returns a classifier. Each call of newID must return a different request
// identifier.
func New(newID func() string) *Classifier { return &Classifier{newID: newID} }

// Filter classifies the request before next, and refuses requests that it cannot
// classify.
func (c *Classifier) Filter(next redwingshunt.Handler) redwingshunt.Handler {
	return redwingshunt.HandlerFunc(func(ctx context.Context, e *redwingshunt.Exchange) error {
		if err := c.classify(e); err != nil {
			return err
		}
		return next.Serve(ctx, e)
	})
}

func (c *Classifier) classify(e *redwingshunt.Exchange) error {
	if e.HTTP.URL.Path == PathChat {
		return c.classifyChat(e)
	}
	if strings.HasPrefix(e.HTTP.URL.Path, PathServices) {
		return c.classifyPlain(e)
	}
	return redwingshunt.NotRun(redwingshunt.ReasonUnknownService, http.StatusNotFound,
		"use "+PathChat+" for a model or "+PathServices+"NAME/... for a plain service")
}

func (c *Classifier) classifyChat(e *redwingshunt.Exchange) error {
	if e.HTTP.Method != http.MethodPost {
		return invalid("a chat completion is a POST")
	}
	body, err := receiver.ReadBody(e.Writer, e.HTTP, maxEngineBody(e.Snapshot.Document))
	if err != nil {
		return err
	}
	chat, err := parseChat(body)
	if err != nil {
		return invalid("the body is no chat completion: " + err.Error())
	}
	service := findEngine(e.Snapshot.Document, chat.Model)
	if service == nil {
		return redwingshunt.NotRun(redwingshunt.ReasonUnknownService, http.StatusNotFound,
			"no service offers the model "+quote(chat.Model))
	}
	if int64(len(body)) > service.Body {
		return receiver.TooLarge()
	}
	e.Service = service
	e.Request = c.newRequest(e, PathChat, chat.withUsage(body))
	e.Request.Stream = chat.Stream
	e.Request.Estimate = chat.estimate(len(body))
	return c.complete(e)
}

func (c *Classifier) classifyPlain(e *redwingshunt.Exchange) error {
	name, rest, _ := strings.Cut(strings.TrimPrefix(e.HTTP.URL.EscapedPath(), PathServices), "/")
	service := findPlain(e.Snapshot.Document, redwingshunt.ServiceID(name))
	if service == nil {
		return redwingshunt.NotRun(redwingshunt.ReasonUnknownService, http.StatusNotFound,
			"no plain service has the name "+quote(name))
	}
	body, err := receiver.ReadBody(e.Writer, e.HTTP, service.Body)
	if err != nil {
		return err
	}
	target := "/" + rest
	if e.HTTP.URL.RawQuery != "" {
		target += "?" + e.HTTP.URL.RawQuery
	}
	e.Service = service
	e.Request = c.newRequest(e, target, body)
	e.Request.Estimate = 1
	if service.Cost == redwingshunt.CostTime {
		e.Request.Estimate = plainEstimateMicroseconds
	}
	return c.complete(e)
}

func (c *Classifier) newRequest(e *redwingshunt.Exchange, target string, body []byte) *redwingshunt.Request {
	return &redwingshunt.Request{
		ID:      c.newID(),
		Account: e.Account.Name,
		Service: e.Service.Name,
		Method:  e.HTTP.Method,
		Path:    target,
		Header:  e.HTTP.Header,
		Body:    body,
		Key:     e.HTTP.Header.Get(redwingshunt.HeaderIdempotency),
	}
}

// complete sets the remaining fields of the request, and decides whether it runs at
// most once.
func (c *Classifier) complete(e *redwingshunt.Exchange) error {
	r := e.Request
	r.Fingerprint = redwingshunt.NewFingerprint(r.Body, string(r.Account), string(r.Service), r.Method, r.Path)
	r.Deadline = e.Arrived.Add(e.Service.Wait)
	r.Once = slices.ContainsFunc(e.Snapshot.Document.Once, func(rule redwingshunt.OnceRule) bool {
		return matchesRule(rule, r)
	})
	switch {
	case len(e.HTTP.Header.Values(redwingshunt.HeaderIdempotency)) > 1:
		return invalid("there is more than one idempotency key")
	case len(r.Key) > maxKeyBytes:
		return invalid("the idempotency key is longer than 255 bytes")
	case r.Once && r.Key == "":
		return redwingshunt.NotRun(redwingshunt.ReasonKeyMissing, http.StatusBadRequest,
			"this request runs at most once: send an "+redwingshunt.HeaderIdempotency+" header")
	}
	return nil
}

// matchesRule reports whether a rule marks the request as non-idempotent.
func matchesRule(rule redwingshunt.OnceRule, r *redwingshunt.Request) bool {
	if rule.Service != r.Service {
		return false
	}
	sameMethod := func(method string) bool { return strings.EqualFold(method, r.Method) }
	if len(rule.Methods) > 0 && !slices.ContainsFunc(rule.Methods, sameMethod) {
		return false
	}
	if len(rule.Methods) == 0 && isSafe(r.Method) {
		return false
	}
	if rule.Path == "" || rule.Path == "*" {
		return true
	}
	target, _, _ := strings.Cut(r.Path, "?")
	return matchesPath(rule.Path, target)
}

// matchesPath reports whether a pattern matches a path as sent or, since an upstream
// may read it that way, percent-decoded.
func matchesPath(pattern, target string) bool {
	forms := []string{target}
	if decoded, err := url.PathUnescape(target); err == nil {
		forms = append(forms, decoded)
	}
	return slices.ContainsFunc(forms, func(form string) bool {
		ok, err := path.Match(pattern, path.Clean(form))
		return ok && err == nil
	})
}

func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func maxEngineBody(document *redwingshunt.Document) int64 {
	var largest int64
	for _, service := range document.Services {
		if service.Kind == redwingshunt.ServiceEngine {
			largest = max(largest, service.Body)
		}
	}
	return largest
}

func findEngine(document *redwingshunt.Document, model string) *redwingshunt.Service {
	for i := range document.Services {
		service := &document.Services[i]
		if service.Kind != redwingshunt.ServiceEngine {
			continue
		}
		if service.Model == model || service.Model == "" && string(service.Name) == model {
			return service
		}
	}
	return nil
}

func findPlain(document *redwingshunt.Document, name redwingshunt.ServiceID) *redwingshunt.Service {
	for i := range document.Services {
		service := &document.Services[i]
		if service.Kind == redwingshunt.ServicePlain && service.Name == name {
			return service
		}
	}
	return nil
}

func invalid(detail string) error {
	return redwingshunt.NotRun(redwingshunt.ReasonInvalidRequest, http.StatusBadRequest, detail)
}

func quote(s string) string { return "\"" + s + "\"" }
