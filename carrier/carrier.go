// Package carrier sends single HTTP/1.1 requests to upstreams over connections
// that it keeps alive, and reports exactly what is known when a request fails.
//
// The HTTP client of the standard library may send a request twice on its own and
// does not show on which connection a response arrived. Here each call is sent at
// most once, and a failure says whether a byte of it may have reached the
// upstream. A response is matched to its request by an identifier that the
// upstream echoes: a response to another request that arrives first is discarded,
// and a connection on which unexpected bytes arrive is not reused.
//
// A middlebox may lose its state of an open connection. Kept connections are
// therefore probed by the system (TCP keep-alive), and dropped when sent bytes
// stay unacknowledged for too long (userTimeoutMillis).
//
// # Usage
//
//	c := carrier.New(carrier.Options{Header: "X-Request-Id"})
//	reply, err := c.Send(ctx, carrier.Call{Address: address, ID: id, ...})
//	var failure *carrier.Failure
//	if errors.As(err, &failure) && !failure.Sent {
//		// the upstream has not seen a byte
//	}
//	defer reply.Close()
package carrier

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/detector"
)

const (
	// dialTimeout is several round trips between regions; a busy upstream may
	// accept a connection more slowly than it does its other work.
	dialTimeout = 700 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a dead
	// connection within the pause that callers tolerate.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// defaultIdleTimeout is how long an idle connection is kept if the upstream does
	// not announce its own timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleTimeout bounds the timeout that an upstream announces.
	maxIdleTimeout = 15 * time.Second
	// maxOnceIdle is the longest time a connection may have been idle to be used for
	// a non-idempotent request, since the upstream may be closing it.
	maxOnceIdle = 500 * time.Millisecond
	// maxIdlePerUpstream bounds the idle connections to one upstream.
	maxIdlePerUpstream = 12
	// inlineBodyBytes is the size in bytes up to which a body fits the send buffer,
	// so that writing it does not wait for the upstream.
	inlineBodyBytes = 16 << 10
	// maxForeignResponses is the number of responses to other requests after which
	// the connection is dropped.
	maxForeignResponses = 3
	// maxForeignBodyBytes bounds in bytes the body of a discarded response,
	// including the sizes of its chunks.
	maxForeignBodyBytes = 1 << 20
	// maxHeadBytes bounds in bytes the status line and the header of a response,
	// including the interim responses before it.
	maxHeadBytes = 64 << 10
	// maxInterimResponses bounds the responses of status 1xx before the final one.
	maxInterimResponses = 16
	// bodyWriteGrace is how long the rest of a request body may take after the
	// response for the connection to be kept.
	bodyWriteGrace   = 50 * time.Millisecond
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

// Options configure a Carrier.
type Options struct {
	// Header is the header in which upstreams echo the identifier of a request.
	Header string
	// MaxIdle bounds the idle connections to all upstreams together; zero is
	// unlimited.
	MaxIdle int
}

// Call is one request.
type Call struct {
	Address       netip.AddrPort
	ID            string // of the request; Header contains it under Options.Header
	Method        string
	Target        string // path and query as sent, without decoding
	Host          string
	Header        http.Header
	Body          []byte
	NonIdempotent bool // non-idempotent: avoids a connection that the upstream may be closing
	// Watch observes the silence of the upstream until the reply is closed; may be nil.
	Watch *Watch
	// StillValid reports, just before the first byte is written, whether the call may
	// still be sent; may be nil.
	StillValid func() bool
}

// ErrStale means that a call was not sent because Call.StillValid returned false.
var ErrStale = errors.New("the choice of the upstream does not hold any more")

// ErrInvalidStatus means that the status of a response is neither that of an interim nor
// that of a final response. No request asks for a switch of protocols.
var ErrInvalidStatus = errors.New("the answer has the invalid status")

// Failure is the error of a call without a response.
type Failure struct {
	Sent bool // a byte may have reached the upstream
	Err  error
}

// Error says whether a byte of the call may have been sent, and the cause.
func (f *Failure) Error() string {
	if f.Sent {
		return "no answer to a request that was sent: " + f.Err.Error()
	}
	return "request not sent: " + f.Err.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Counts are totals since the start.
type Counts struct {
	Opened  uint64 // connections opened
	Reused  uint64 // calls on a kept connection
	Stale   uint64 // kept connections found closed or with unexpected bytes
	Foreign uint64 // responses to other requests
}

// Carrier keeps connections to upstreams. It is safe for concurrent use.
type Carrier struct {
	options Options
	dialer  net.Dialer

	opened, reused, stale, foreign atomic.Uint64

	mu     sync.Mutex
	idle   map[netip.AddrPort][]*connection // longest idle first
	kept   int                              // connections in idle
	closed bool
}

// New returns a carrier without connections.
func New(options Options) *Carrier {
	return &Carrier{
		options: options,
		idle:    make(map[netip.AddrPort][]*connection),
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
			Control: setUserTimeout,
		},
	}
}

// Counts returns the totals.
func (c *Carrier) Counts() Counts {
	return Counts{
		Opened: c.opened.Load(), Reused: c.reused.Load(), Stale: c.stale.Load(), Foreign: c.foreign.Load(),
	}
}

// Dump returns the totals and the number of idle connections to each upstream.
func (c *Carrier) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := make(map[string]int, len(c.idle))
	for address, connections := range c.idle {
		kept[address.String()] = len(connections)
	}
	return struct {
		Counts Counts         `json:"counts"`
		Kept   map[string]int `json:"kept"`
	}{c.Counts(), kept}
}

// Send sends a call and returns once the header of the response has arrived. The
// connection is closed if ctx ends before the response has been read. An error is
// a *Failure.
func (c *Carrier) Send(ctx context.Context, call Call) (*Reply, error) {
	connection, err := c.connect(ctx, call)
	if err != nil {
		return nil, &Failure{Err: err}
	}
	if call.StillValid != nil && !call.StillValid() {
		c.putIdle(connection, defaultIdleTimeout)
		return nil, &Failure{Err: ErrStale}
	}
	connection.limiter.watch = call.Watch
	stop := context.AfterFunc(ctx, connection.disconnect)
	response, err := connection.roundTrip(call, c.options.Header, &c.foreign) //nolint:bodyclose // Reply.Close ends the connection or keeps it
	if err != nil {
		stop()
		connection.disconnect()
		if ctx.Err() != nil {
			err = errors.Join(context.Cause(ctx), err)
		}
		return nil, &Failure{Sent: true, Err: err}
	}
	return &Reply{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		response: response, connection: connection, carrier: c, stop: stop,
	}, nil
}

// connect returns a kept connection that still looks open, or a new one.
func (c *Carrier) connect(ctx context.Context, call Call) (*connection, error) {
	for {
		kept := c.takeIdle(call)
		if kept == nil {
			break
		}
		if kept.usable() {
			c.reused.Add(1)
			return kept, nil
		}
		c.stale.Add(1)
		kept.disconnect()
	}
	socket, err := c.dialer.DialContext(ctx, "tcp4", call.Address.String())
	if err != nil {
		return nil, err
	}
	c.opened.Add(1)
	return newConnection(socket, call.Address), nil
}

// takeIdle removes and returns the most recently used connection if it may carry the
// call, otherwise nil.
func (c *Carrier) takeIdle(call Call) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[call.Address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	idleTime := time.Since(last.idleSince)
	if idleTime > last.idleTimeout || call.NonIdempotent && idleTime > maxOnceIdle {
		return nil
	}
	c.idle[call.Address] = list[:len(list)-1]
	c.kept--
	return last
}

// putIdle returns a connection to the idle ones, or closes it if there are too many.
func (c *Carrier) putIdle(connection *connection, idleTimeout time.Duration) {
	connection.limiter.stopWatch()
	connection.idleSince, connection.idleTimeout = time.Now(), idleTimeout
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[connection.address]
	if c.closed || len(list) >= maxIdlePerUpstream || c.options.MaxIdle > 0 && c.kept >= c.options.MaxIdle {
		connection.disconnect()
		return
	}
	c.idle[connection.address] = append(list, connection)
	c.kept++
}

// Sweep closes connections that have been idle for too long. It must be called
// periodically.
func (c *Carrier) Sweep() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, connection := range list {
			if now.Sub(connection.idleSince) > connection.idleTimeout {
				connection.disconnect()
				c.kept--
				continue
			}
			kept = append(kept, connection)
		}
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
}

// CloseIdle closes the idle connections to an address.
func (c *Carrier) CloseIdle(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, connection := range c.idle[address] {
		connection.disconnect()
	}
	c.kept -= len(c.idle[address])
	delete(c.idle, address)
}

// Close closes all idle connections, and those that become idle later.
func (c *Carrier) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, list := range c.idle {
		for _, connection := range list {
			connection.disconnect()
		}
	}
	clear(c.idle)
	c.kept = 0
}

// connection is one open connection to an upstream.
type connection struct {
	socket      net.Conn
	address     netip.AddrPort
	limiter     *limiter
	reader      *bufio.Reader // reads from limiter
	idleSince   time.Time     // start of the idle time
	idleTimeout time.Duration // longest idle time
	bodyWritten chan error    // result of writing the body in the background, or nil
}

func newConnection(socket net.Conn, address netip.AddrPort) *connection {
	m := &limiter{source: socket}
	return &connection{socket: socket, address: address, limiter: m, reader: bufio.NewReaderSize(m, readBufferBytes)}
}

// disconnect closes the connection; concurrent reads and writes return an error.
func (k *connection) disconnect() { _ = k.socket.Close() }

// usable reports whether the connection is open and has no unexpected bytes.
func (k *connection) usable() bool {
	return k.reader.Buffered() == 0 && openAndEmpty(k.socket)
}

// roundTrip writes a request and reads the header of its response.
func (k *connection) roundTrip(call Call, idHeader string, foreign *atomic.Uint64) (*http.Response, error) {
	request := &http.Request{
		Method:        call.Method,
		URL:           &url.URL{Opaque: call.Target},
		Host:          call.Host,
		Header:        call.Header,
		ContentLength: int64(len(call.Body)),
		Proto:         "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if err := k.write(request, call.Body); err != nil {
		// The upstream may have responded and closed before it read the whole body.
		response, readErr := k.read(request, call.ID, idHeader, foreign)
		if readErr != nil {
			return nil, errors.Join(err, readErr)
		}
		k.bodyWritten = make(chan error, 1)
		k.bodyWritten <- err
		return response, nil
	}
	return k.read(request, call.ID, idHeader, foreign)
}

// write writes a request. A large body is written in the background, since the
// upstream may respond before it has read it.
func (k *connection) write(request *http.Request, body []byte) error {
	buffer := bufio.NewWriterSize(k.socket, writeBufferBytes)
	if err := writeHeader(buffer, request); err != nil {
		return err
	}
	if len(body) <= inlineBodyBytes {
		if _, err := buffer.Write(body); err != nil {
			return err
		}
		return buffer.Flush()
	}
	if err := buffer.Flush(); err != nil {
		return err
	}
	bodyWritten := make(chan error, 1)
	k.bodyWritten = bodyWritten
	go func() {
		_, err := k.socket.Write(body)
		bodyWritten <- err
	}()
	return nil
}

// bodyWasWritten reports whether the whole request was written, waiting up to
// bodyWriteGrace for a body that is written in the background.
func (k *connection) bodyWasWritten() bool {
	if k.bodyWritten == nil {
		return true
	}
	timer := time.NewTimer(bodyWriteGrace)
	defer timer.Stop()
	select {
	case err := <-k.bodyWritten:
		if err != nil {
			k.bodyWritten <- err // buffered; a later call returns the same
			return false
		}
		k.bodyWritten = nil
		return true
	case <-timer.C:
		return false
	}
}

// writeHeader writes the request line and the header as given.
func writeHeader(w *bufio.Writer, r *http.Request) error {
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URL.Opaque, r.Host)
	if err := r.Header.Write(w); err != nil {
		return err
	}
	if r.ContentLength > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		fmt.Fprintf(w, "Content-Length: %d\r\n", r.ContentLength)
	}
	_, err := w.WriteString("\r\n")
	return err
}

// read returns the response to a request and discards responses to others.
func (k *connection) read(r *http.Request, id, idHeader string, foreign *atomic.Uint64) (*http.Response, error) {
	k.limiter.setLimit(maxHeadBytes)
	defer k.limiter.removeLimit()
	for interim, others := 0, 0; interim < maxInterimResponses && others < maxForeignResponses; {
		response, err := http.ReadResponse(k.reader, r)
		if err != nil && k.limiter.exhausted() {
			// The parser may have taken the cut as a malformed line.
			return nil, errors.Join(errHeadLong, err)
		}
		if err != nil {
			return nil, err
		}
		if status := response.StatusCode; status >= 100 && status < http.StatusOK && status != http.StatusSwitchingProtocols {
			interim++
			continue
		}
		if !redwingshunt.IsFinalStatus(response.StatusCode) {
			return nil, fmt.Errorf("%w %03d", ErrInvalidStatus, response.StatusCode)
		}
		if idHeader == "" || response.Header.Get(idHeader) == id {
			return response, nil
		}
		foreign.Add(1)
		others++
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			_ = response.Body.Close()
			break // the body ends with the connection
		}
		k.limiter.setLimit(maxForeignBodyBytes)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
		k.limiter.setLimit(maxHeadBytes)
	}
	return nil, errors.New("the answer belongs to another request")
}

// Alive reports whether an address accepts a new connection.
func (c *Carrier) Alive(ctx context.Context, address netip.AddrPort) bool {
	c.opened.Add(1)
	return detector.Probe(ctx, &c.dialer, address) == nil
}

// Ended reports whether nothing listens at an address any more.
func (c *Carrier) Ended(ctx context.Context, address netip.AddrPort) bool {
	c.opened.Add(1)
	return detector.Ended(ctx, &c.dialer, address)
}
