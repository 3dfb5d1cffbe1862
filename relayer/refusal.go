package relayer

// Refusals of an instance that is at its limit of concurrent requests. A flood
// causes thousands of them a second, so each must cost as little as possible.

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/hedger"
	"github.com/redwingshunt/redwingshunt/responder"
)

// The Retry-After of a full instance is between fullRetryAfter and
// fullRetryAfter+fullRetrySpread: a load balancer needs that long to send the caller
// to another instance, and the spread avoids synchronized retries.
const (
	fullRetryAfter  = time.Second
	fullRetrySpread = 1500 * time.Millisecond
	fullRetrySteps  = 16 // distinct values
)

// bodyRestTimeout bounds the time for the rest of the body of a refused request. If
// it takes longer, the connection is closed after the refusal: once the caller has
// closed it, or after lingerTimeout or maxLingerBytes bytes.
const (
	bodyRestTimeout = 50 * time.Millisecond
	lingerTimeout   = time.Second
	maxLingerBytes  = 1 << 20
)

// callerCheckAfter is the waiting time of a refusal after which it checks whether
// its caller has disconnected.
const callerCheckAfter = 500 * time.Millisecond

// maxFullLinesPerSecond and maxCheckLinesPerSecond bound the log lines a second for
// refusals of a full instance and for refusals by the placer before the body is
// read. The others are only counted.
const (
	maxFullLinesPerSecond  = 10
	maxCheckLinesPerSecond = 100
)

var (
	errFull = redwingshunt.NotRun(redwingshunt.ReasonQueueFull, http.StatusServiceUnavailable,
		"this instance serves as many requests as it carries; use another").After(fullRetryAfter)
	// abandonedRefusal ends a request whose caller disconnected before it was refused.
	abandonedRefusal = redwingshunt.NotRun(redwingshunt.ReasonCancelled, redwingshunt.StatusClientClosed,
		"the caller went away before it was refused")
	fullBody   = append(responder.Encode(errFull, ""), '\n')
	fullHeader = map[string][]string{
		"Content-Type":             {"application/json"},
		"Content-Length":           {strconv.Itoa(len(fullBody))},
		redwingshunt.HeaderOutcome: {string(errFull.Outcome)},
		redwingshunt.HeaderReason:  {string(errFull.Reason)},
	}
	// fullRetryHints are the values of Retry-After, used in turn.
	fullRetryHints = newRetryHints()
)

// retryHint is a Retry-After and its header value.
type retryHint struct {
	after  time.Duration
	header []string
}

// newRetryHints returns the values of Retry-After, ordered so that consecutive ones
// are far apart.
func newRetryHints() [fullRetrySteps]retryHint {
	const stride = 7 // coprime to fullRetrySteps
	var hints [fullRetrySteps]retryHint
	for i := range hints {
		after := fullRetryAfter + time.Duration(i*stride%fullRetrySteps)*fullRetrySpread/fullRetrySteps
		hints[i] = retryHint{after, []string{formatRetryAfter(after)}}
	}
	return hints
}

// maxConcurrentRefusals bounds the concurrent refusals of a full instance. The
// others wait in order of arrival, so that admitted requests and the detection of
// disconnected callers get the processor first.
const maxConcurrentRefusals = 4

// refuseFull refuses a request of which only the header has been read. It reports
// whether the rest of the request was read.
func (r *Relayer) refuseFull(w http.ResponseWriter, request *http.Request, account redwingshunt.AccountID) bool {
	arrived := time.Now()
	if i := r.index.Load(); i != nil && i.hedges != nil {
		r.hedging.do(func(now time.Time, core *hedger.Core) { core.Full(now) })
	}
	hint := &fullRetryHints[r.refused.Add(1)%fullRetrySteps]
	r.refusalSlots <- struct{}{}
	defer func() { <-r.refusalSlots }()
	id := request.Header.Get(r.options.Dialect.Request)
	if time.Since(arrived) > callerCheckAfter && callerGone(request.Context()) {
		r.abandoned.Add(1)
		r.recordRefusal(arrived, id, account, abandonedRefusal, 0)
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	for name, value := range fullHeader {
		header[name] = value
	}
	header["Retry-After"] = hint.header
	if id != "" {
		header.Set(r.options.Dialect.Request, id)
	}
	w.WriteHeader(errFull.Status)
	_, _ = w.Write(fullBody)         // a caller that has disconnected retries elsewhere anyway
	complete := skipBody(w, request) // other refusals wait for this
	if account != "" {
		input, output := parseCount(request.Header.Get(r.options.Dialect.Count))
		r.options.Placer.Refused(account, redwingshunt.ServiceTokens(input, output))
	}
	r.recordRefusal(arrived, id, account, errFull, hint.after)
	return complete
}

// skipBody flushes the response to a request whose body was not read, and discards
// the rest of the body. It reports whether the body was complete.
func skipBody(w http.ResponseWriter, request *http.Request) bool {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyRestTimeout)) // unsupported by a response recorder
	_ = controller.Flush()
	_, err := request.Body.Read(make([]byte, 1))
	return errors.Is(err, io.EOF) || errors.Is(err, http.ErrBodyReadAfterClose) // the server closes a body that it has read
}

// linger closes the sending side of a connection that is about to be closed, and
// discards what arrives until the caller closes it too. Closing it at once would
// reset a connection on which more data arrives, and the response could be lost.
func linger(request *http.Request) {
	connection, ok := request.Context().Value(connectionKey{}).(net.Conn)
	if !ok {
		return
	}
	if half, ok := connection.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = connection.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, connection, maxLingerBytes)
}

// clientOf returns the client account of a request by its key, or nil.
func (r *Relayer) clientOf(request *http.Request) *redwingshunt.Account {
	i := r.currentIndex()
	if i == nil {
		return nil
	}
	return r.accounts.Find(i.snapshot, request.Header.Get(r.options.Dialect.Key))
}

// accountName returns the name of an account, or an empty string for nil.
func accountName(account *redwingshunt.Account) redwingshunt.AccountID {
	if account == nil {
		return ""
	}
	return account.Name
}

// recordRefusal counts a refusal and logs it unless too many were logged.
func (r *Relayer) recordRefusal(arrived time.Time, id string, account redwingshunt.AccountID, refusal *redwingshunt.OutcomeError, after time.Duration) {
	if r.options.Observe != nil {
		r.options.Observe(Record{Outcome: string(refusal.Reason), Total: time.Since(arrived)})
	}
	logged, suppressed := r.refusalLog.allow(arrived, maxFullLinesPerSecond)
	if !logged {
		return
	}
	r.options.Logger.Warn("request ended", "request", id, "account", string(account), "outcome", string(refusal.Reason), "status", refusal.Status,
		"promise", string(refusal.Outcome), "detail", refusal.Detail, "after", after,
		"running", r.running.sum(), "untold", suppressed)
}

// refusalLog limits the log lines of refusals to a number a second.
type refusalLog struct {
	mu         sync.Mutex
	second     int64 // Unix time of the second that logged counts
	lines      int   // lines written in that second
	suppressed int   // refusals without a line since the last line
}

// allow counts a refusal. It reports whether the refusal is logged, given the
// maximum of lines a second, and how many before it were not.
func (l *refusalLog) allow(now time.Time, limit int) (logged bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second, l.lines = second, 0
	}
	if l.lines >= limit {
		l.suppressed++
		return false, 0
	}
	l.lines++
	suppressed, l.suppressed = l.suppressed, 0
	return true, suppressed
}

// formatRetryAfter formats a Retry-After in seconds, with the fraction that callers
// of routes accept.
func formatRetryAfter(after time.Duration) string {
	return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
}
