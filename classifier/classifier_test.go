package classifier_test

import (
	"bufio"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/classifier"
)

var document = &redwingshunt.Document{
	Services: []redwingshunt.Service{
		{Name: "desk", Kind: redwingshunt.ServicePlain, Body: 1 << 10, Wait: time.Second},
		{Name: "assistant", Kind: redwingshunt.ServiceEngine, Body: 1 << 10, Wait: time.Second},
	},
	Once: []redwingshunt.OnceRule{{Service: "desk", Methods: []string{"POST"}, Path: "/bookings/*"}},
}

// deadlineRecorder is a response writer that records the read deadline.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (w *deadlineRecorder) SetReadDeadline(t time.Time) error {
	w.deadline = t
	return nil
}

// TestReadDeadlineCleared checks that the read deadline is removed after the body.
func TestReadDeadlineCleared(t *testing.T) {
	is := is.New(t)
	request := httptest.NewRequest(http.MethodPost, "/services/desk/x", strings.NewReader("{}"))
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder(), deadline: time.Now()}
	_, err := classifyTo(w, request)
	is.NoErr(err)
	is.True(w.deadline.IsZero())
}

// classify runs a request through the classifier.
func classify(request *http.Request) (*redwingshunt.Exchange, error) {
	return classifyTo(httptest.NewRecorder(), request)
}

func classifyTo(w http.ResponseWriter, request *http.Request) (*redwingshunt.Exchange, error) {
	e := &redwingshunt.Exchange{
		Writer:   w,
		HTTP:     request,
		Account:  &redwingshunt.Account{Name: "lin"},
		Snapshot: &redwingshunt.Snapshot{Document: document},
	}
	filter := classifier.New(func() string { return "r" }).Filter
	err := filter(redwingshunt.HandlerFunc(func(context.Context, *redwingshunt.Exchange) error {
		return nil
	})).Serve(request.Context(), e)
	return e, err
}

// TestOnceWithPathVariants checks that a non-idempotent request is recognized by any
// spelling of its path that an upstream may accept.
func TestOnceWithPathVariants(t *testing.T) {
	tests := map[string]struct {
		method, path string
		once         bool
	}{
		"plain":            {"POST", "/bookings/7", true},
		"encoded":          {"POST", "/book%69ngs/7", true},
		"encoded slash":    {"POST", "/bookings%2F7", true},
		"doubled slash":    {"POST", "//bookings//7", true},
		"dots":             {"POST", "/x/../bookings/7", true},
		"encoded dots":     {"POST", "/x/%2e%2e/bookings/7", true},
		"lower-case":       {"post", "/bookings/7", true},
		"with a query":     {"POST", "/bookings/7?x=1", true},
		"another method":   {"GET", "/bookings/7", false},
		"another resource": {"POST", "/stock/7", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			request := httptest.NewRequest(test.method, "/services/desk"+test.path, strings.NewReader("{}"))
			e, err := classify(request)
			is.Equal(err != nil, test.once) // the idempotency key is missing
			is.Equal(e.Request.Once, test.once)
			request.Header.Set(redwingshunt.HeaderIdempotency, "k")
			_, err = classify(request)
			is.NoErr(err)
			request.Header.Add(redwingshunt.HeaderIdempotency, "other")
			_, err = classify(request)
			is.True(err != nil) // two keys are ambiguous
		})
	}
}

// FuzzCaller parses arbitrary requests. The classifier must return the outcome "not
// run" or accept a request that is within its limits.
func FuzzCaller(f *testing.F) {
	for _, seed := range []string{
		"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 39\r\n\r\n{\"model\":\"assistant\",\"stream\":true}   ",
		"POST /services/desk/bookings/7 HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\n{}",
		"POST /services/desk/x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"POST /services/desk/x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
		"POST /services/desk/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n0\r\n\r\n",
		"GET /services/desk/%2e%2e/%00?a=%zz HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET /services//x HTTP/1.0\r\n\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return
		}
		e, err := classify(request)
		if err != nil {
			if redwingshunt.OutcomeOf(err).Outcome != redwingshunt.OutcomeNotRun {
				t.Fatalf("the outcome is not \"not run\": %v", err)
			}
			return
		}
		r := e.Request
		switch {
		case r.Once && r.Key == "":
			t.Fatal("a non-idempotent request has no key")
		case !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, " \r\n"):
			t.Fatalf("the path allows request smuggling: %q", r.Path)
		case int64(len(r.Body)) > e.Service.Body+64:
			t.Fatalf("the body has %d bytes", len(r.Body))
		}
	})
}
