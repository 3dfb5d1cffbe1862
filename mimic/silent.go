package mimic

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// SilencePoint is the point of a response at which a Silent upstream stops reading and
// writing.
type SilencePoint int

// The points.
const (
	BeforeRequest    SilencePoint = iota // the connection is open, and nothing is read from it
	BeforeHead                           // the request has been read
	WithinHead                           // after the status line
	BeforeFirstEvent                     // or before the body of a plain response
	BetweenEvents                        // or within the body of a plain response
	WithinEvent
	BeforeLastByte
)

// SilentOptions configure a Silent upstream.
type SilentOptions struct {
	ID      redwingshunt.UpstreamID
	Dialect redwingshunt.Dialect
	Events  int // of a stream; zero for a plain response
	Point   SilencePoint
	For     time.Duration // duration of the silence
	Times   int           // responses with a silence; negative for all
}

// Silent is a sound upstream of routes that falls silent during a response, keeps the
// connection open and goes on. It resumes streams after Last-Event-ID. It is safe for
// concurrent use.
type Silent struct {
	*Scripted
	options SilentOptions

	mu       sync.Mutex
	times    int // remaining responses with a silence
	silences int
	runs     map[string]int // by request
	cut      int
}

// StartSilent starts a Silent upstream.
func StartSilent(options SilentOptions) (*Silent, error) {
	u := &Silent{options: options, times: options.Times, runs: make(map[string]int)}
	var err error
	u.Scripted, err = StartScripted(u.serve)
	return u, err
}

// State returns the announcement of the upstream.
func (u *Silent) State(service redwingshunt.ServiceID, sequence uint64) redwingshunt.UpstreamState {
	return redwingshunt.UpstreamState{
		Upstream: redwingshunt.Upstream{ID: u.options.ID, Service: service, Address: u.Address(), Slots: 64},
		Born:     time.UnixMilli(1), Sequence: sequence,
	}
}

// Runs returns how often a request was started.
func (u *Silent) Runs(request string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[request]
}

// Silences returns how often the upstream has fallen silent.
func (u *Silent) Silences() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.silences
}

// Cut returns the number of responses whose connections were closed by the other end.
func (u *Silent) Cut() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.cut
}

// reach falls silent if a point is the one of the options.
func (u *Silent) reach(point SilencePoint) {
	u.mu.Lock()
	silent := point == u.options.Point && u.times != 0
	if silent {
		u.times--
		u.silences++
	}
	u.mu.Unlock()
	if silent {
		time.Sleep(u.options.For)
	}
}

func (u *Silent) serve(connection net.Conn) {
	reader := bufio.NewReader(connection)
	for {
		u.reach(BeforeRequest)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get(u.options.Dialect.Request)
		u.mu.Lock()
		u.runs[id]++
		u.mu.Unlock()
		if u.respond(connection, request, id) != nil {
			u.mu.Lock()
			u.cut++
			u.mu.Unlock()
			return
		}
	}
}

// respond writes one response, piece by piece.
func (u *Silent) respond(w io.Writer, request *http.Request, id string) error {
	var err error
	write := func(text string) {
		if err == nil {
			_, err = io.WriteString(w, text)
		}
	}
	u.reach(BeforeHead)
	write("HTTP/1.1 200 OK\r\n")
	u.reach(WithinHead)
	write(fmt.Sprintf("%s: %s\r\n%s: %s.%s\r\n", u.options.Dialect.Request, id, u.options.Dialect.Signature, u.options.ID, id))
	if u.options.Events == 0 {
		write("Content-Length: 10\r\n\r\n")
		u.reach(BeforeFirstEvent)
		write("whole")
		u.reach(BetweenEvents)
		write(" bod")
		u.reach(BeforeLastByte)
		write("y")
		return err
	}
	write("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	u.reach(BeforeFirstEvent)
	last, _ := strconv.Atoi(request.Header.Get(redwingshunt.HeaderLastEvent)) // without it, from the first event
	for i := last + 1; i <= u.options.Events && err == nil; i++ {
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i)
		write(fmt.Sprintf("%x\r\n", len(event)))
		write(event[:4])
		if i == last+2 {
			u.reach(WithinEvent)
		}
		write(event[4:] + "\r\n")
		if i == last+2 {
			u.reach(BetweenEvents)
		}
	}
	write("0\r\n\r")
	u.reach(BeforeLastByte)
	write("\n")
	return err
}

// Events returns the body of a whole stream of a number of events.
func Events(n int) string {
	var text strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: token %d\n\n", i, i)
	}
	return text.String()
}
