package relayer

// Refusals of an instance that serves as many requests as it carries. A flood
// brings thousands of them a second, so each costs as little as can be.

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/responder"
)

// A caller that met a full instance may come back between fullAfter and
// fullAfter+fullSpread: a balancer needs so long to send it to another instance,
// and callers are not to return together.
const (
	fullAfter  = time.Second
	fullSpread = 1500 * time.Millisecond
	fullSteps  = 16 // times in between
)

// bodyRestTimeout bounds the rest of the body of a refused request; a connection on
// which it takes longer is closed after the refusal, once the caller has closed it
// or after lingerTime or lingerMost bytes.
const (
	bodyRestTimeout = 50 * time.Millisecond
	lingerTime      = time.Second
	lingerMost      = 1 << 20 // bytes
)

// callerCheckAfter is how long a refusal waits before its caller may have gone.
const callerCheckAfter = 500 * time.Millisecond

// fullLines and checkedLines are how many refusals of a full instance, and of the
// placer before the body is read, have a line of the log in a second; the others
// are counted.
const (
	fullLines    = 10
	checkedLines = 100
)

var (
	errFull = redwingshunt.NotRun(redwingshunt.ReasonQueueFull, http.StatusServiceUnavailable,
		"this instance serves as many requests as it carries; use another").After(fullAfter)
	fullBody   = append(responder.Encode(errFull, ""), '\n')
	fullHeader = map[string][]string{
		"Content-Type":             {"application/json"},
		"Content-Length":           {strconv.Itoa(len(fullBody))},
		redwingshunt.HeaderOutcome: {string(errFull.Outcome)},
		redwingshunt.HeaderReason:  {string(errFull.Reason)},
	}
	// fullReturns are the values of Retry-After, used in turn.
	fullReturns = returnTimes()
)

// returnTime is when a caller may come back, and the header that tells it.
type returnTime struct {
	after  time.Duration
	header []string
}

// returnTimes returns the times at which callers may come back, in an order in
// which neighbours are apart.
func returnTimes() [fullSteps]returnTime {
	const stride = 7 // has no divisor in common with fullSteps
	var times [fullSteps]returnTime
	for i := range times {
		after := fullAfter + time.Duration(i*stride%fullSteps)*fullSpread/fullSteps
		times[i] = returnTime{after, []string{retryAfter(after)}}
	}
	return times
}

// refusedAtOnce is how many refusals of a full instance are under way at the
// same moment. The others wait in their order, so that what has been admitted,
// and the ends of callers, get the processor before them.
const refusedAtOnce = 4

// refuseFull refuses a request that has only been read as far as its header. It
// reports whether the rest was read.
func (r *Relayer) refuseFull(w http.ResponseWriter, request *http.Request, account redwingshunt.AccountID) bool {
	arrived := time.Now()
	back := &fullReturns[r.refused.Add(1)%fullSteps]
	r.refusing <- struct{}{}
	defer func() { <-r.refusing }()
	if time.Since(arrived) > callerCheckAfter && callerGone(request.Context()) {
		r.abandoned.Add(1)
		panic(http.ErrAbortHandler)
	}
	id := request.Header.Get(r.options.Dialect.Request)
	header := w.Header()
	for name, value := range fullHeader {
		header[name] = value
	}
	header["Retry-After"] = back.header
	if id != "" {
		header.Set(r.options.Dialect.Request, id)
	}
	w.WriteHeader(errFull.Status)
	_, _ = w.Write(fullBody)      // a caller that left asks another instance anyway
	whole := skipBody(w, request) // the others wait for that
	if account != "" {
		input, output := parseCount(request.Header.Get(r.options.Dialect.Count))
		r.options.Placer.Refused(account, redwingshunt.ServiceTokens(input, output))
	}
	r.noteRefusal(arrived, id, account, back.after)
	return whole
}

// skipBody sends the answer to a request of which the body was not read, and
// reads what is left of it. It reports whether that was all.
func skipBody(w http.ResponseWriter, request *http.Request) bool {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyRestTimeout)) // not on a recorded response
	_ = controller.Flush()
	_, err := request.Body.Read(make([]byte, 1))
	return errors.Is(err, io.EOF) || errors.Is(err, http.ErrBodyReadAfterClose) // the server closes a body that it has read
}

// linger ends the answer on a connection that is about to be closed and drops what
// comes until the caller closes it too. Closed at once, a connection on which more
// comes is reset, and the answer may be lost.
func linger(request *http.Request) {
	connection, ok := request.Context().Value(connectionKey{}).(net.Conn)
	if !ok {
		return
	}
	if half, ok := connection.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = connection.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, connection, lingerMost)
}

// callerOf returns the client account of a request by its key, or nil.
func (r *Relayer) callerOf(request *http.Request) *redwingshunt.Account {
	i := r.indexOf()
	if i == nil {
		return nil
	}
	return r.accounts.Find(i.snapshot, request.Header.Get(r.options.Dialect.Key))
}

// accountName returns the name of an account, or nothing.
func accountName(account *redwingshunt.Account) redwingshunt.AccountID {
	if account == nil {
		return ""
	}
	return account.Name
}

// noteRefusal counts a refusal and writes its line, if it has one.
func (r *Relayer) noteRefusal(arrived time.Time, id string, account redwingshunt.AccountID, after time.Duration) {
	if r.options.Observe != nil {
		r.options.Observe(Record{Outcome: string(errFull.Reason), Total: time.Since(arrived)})
	}
	line, untold := r.refusals.note(arrived, fullLines)
	if !line {
		return
	}
	r.options.Logger.Warn("request ended", "request", id, "account", string(account), "outcome", string(errFull.Reason), "status", errFull.Status,
		"promise", string(errFull.Outcome), "detail", errFull.Detail, "after", after,
		"running", r.running.all(), "untold", untold)
}

// refusals decides which refusals have a line of the log.
type refusals struct {
	mu     sync.Mutex
	second int64 // since 1970
	lines  int   // in it
	untold int   // refusals without a line since the last one
}

// note counts a refusal. It reports whether that has a line when so many have
// one in a second, and how many before it had none.
func (f *refusals) note(now time.Time, most int) (line bool, untold int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if second := now.Unix(); second != f.second {
		f.second, f.lines = second, 0
	}
	if f.lines >= most {
		f.untold++
		return false, 0
	}
	f.lines++
	untold, f.untold = f.untold, 0
	return true, untold
}

// retryAfter writes a time as callers of routes understand it.
func retryAfter(after time.Duration) string {
	return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
}
