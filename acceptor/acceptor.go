// Package acceptor limits the connections of callers to one address that carry no
// request: idle keep-alive connections, and new connections before their first
// request.
//
// An idle connection holds buffers and a goroutine. A few callers may open thousands
// of them on one instance within seconds; there is then too little memory left for
// garbage collection, which takes the processor time of requests. The acceptor counts
// connections, reports when there are so many that answers should close theirs, and
// closes those that have been idle for longer than the document allows. A changed
// limit applies from the next sweep on and to open connections too, unlike the
// timeouts of an http.Server.
//
// At a maximum number of open connections, no more are accepted until one ends; the
// operating system queues them at little cost. No open connection is closed to make
// room, since a request may be in transit on any of them, and a caller that gets no
// answer soon tries another instance. Accepting also pauses while many recently
// accepted connections have not been read: an instance that keeps accepting has no
// time to serve the connections that it has.
//
// While accepting pauses, callers wait in the queue of the operating system, and many give
// up before their turn. For a while after a pause, a connection whose caller has closed it
// is closed as it is accepted, at a fraction of the cost of reading and refusing its
// request; otherwise an overloaded instance spends its processor on callers that have left
// while the queue makes those behind them give up, too. A connection next to such a one has
// waited about as long, which WaitedLong tells: how much time its caller has left is not
// known, and another instance serves it sooner.
//
// What a connection sends before its request is read is limited in length and, for all
// connections together, in memory. A caller beyond a limit gets 431 or 503, the latter
// as a promise that its request did not run, and its connection is closed.
//
// # Usage
//
//	a := acceptor.New(keepLimit, maxOpen)
//	a.LimitHeaders(headers, false)
//	server.Serve(a.LimitListener(socket))
//	server := &http.Server{ConnState: a.TrackConnState, ...}
//	if a.OverKeepLimit() { header.Set("Connection", "close") }
//	a.Sweep(time.Now(), acceptor.Limits{Idle: limits.Idle, First: limits.HeaderTime}) // periodically
package acceptor

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingshunt/redwingshunt/carrier"
)

const (
	// maxUnread is the number of recently accepted connections without a first
	// request at which accepting pauses.
	maxUnread = 64
	// unreadWindow is how long a connection counts as recently accepted. A caller may
	// send its first request later than that.
	unreadWindow = 50 * time.Millisecond
	// backlogTime is how long after a pause accepted connections are checked. Callers
	// wait about a second for a connection before they give up.
	backlogTime = time.Second
	// neighborTime is how long after one whose caller had left a connection is accepted that
	// stood near it in the queue.
	neighborTime = 50 * time.Millisecond
)

// Limits holds the maximum time between two requests of a connection, and the
// maximum time until the header of its first request is received, or that of a next one
// after its first byte; zero is unlimited.
type Limits struct{ Idle, First time.Duration }

// Acceptor counts the connections of one server. It is safe for concurrent use.
type Acceptor struct {
	keepLimit int
	maxOpen   int
	open      atomic.Int64
	accepted  atomic.Int64 // connections since the start
	abandoned atomic.Int64 // connections closed as they were accepted, since the start
	headers   Headers      // nil for no limits beyond those of the server
	encrypted bool
	changed   chan struct{} // buffers one signal: a connection ended, or its first request was read

	mu    sync.Mutex
	idle  *queue // connections between two requests
	fresh *queue // connections before their first request
}

// New returns an acceptor that keeps connections alive while at most the first number
// of them are open, and accepts no more at the second number; zero is unlimited for
// each.
func New(keepLimit, maxOpen int) *Acceptor {
	return &Acceptor{keepLimit: keepLimit, maxOpen: maxOpen, changed: make(chan struct{}, 1), idle: newQueue(), fresh: newQueue()}
}

// LimitListener returns a listener that accepts connections up to the maximum.
func (a *Acceptor) LimitListener(socket net.Listener) net.Listener {
	return &limitListener{Listener: socket, acceptor: a, closed: make(chan struct{})}
}

// limitListener is a listener that waits for capacity before it accepts.
type limitListener struct {
	net.Listener
	acceptor *Acceptor
	paused   time.Time // end of the last pause; used by the only goroutine that accepts
	skipped  time.Time // when the last connection was closed as it was accepted; used by the same
	once     sync.Once
	closed   chan struct{}
}

// Accept returns the next connection once there is capacity for it. After a pause it skips
// those whose callers have left.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		if err := l.waitForCapacity(); err != nil {
			return nil, err
		}
		accepted, err := l.Listener.Accept()
		if err != nil {
			return accepted, err
		}
		if time.Since(l.paused) < backlogTime && carrier.PeerLeft(accepted) {
			l.acceptor.abandoned.Add(1)
			l.skipped = time.Now()
			_ = accepted.Close()
			continue
		}
		if socket, ok := accepted.(*net.TCPConn); ok {
			wrapped := l.acceptor.wrap(socket)
			wrapped.late.Store(time.Since(l.skipped) < neighborTime)
			return wrapped, nil
		}
		return accepted, nil
	}
}

// waitForCapacity pauses until there is capacity for another connection.
func (l *limitListener) waitForCapacity() error {
	for l.acceptor.Full() || l.acceptor.countUnread(time.Now()) >= maxUnread {
		l.paused = time.Now()
		timer := time.NewTimer(unreadWindow)
		select {
		case <-l.acceptor.changed:
		case <-timer.C:
		case <-l.closed:
			return net.ErrClosed
		}
		timer.Stop()
		l.paused = time.Now()
	}
	return nil
}

// wrap returns a connection that is about to read its first header.
func (a *Acceptor) wrap(socket *net.TCPConn) *connection {
	c := &connection{TCPConn: socket}
	if a.headers != nil {
		c.header = header{limits: a.headers, encrypted: a.encrypted}
		c.inHeader.Store(true)
	}
	return c
}

// Close closes the listener and ends a waiting Accept.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// TrackConnState tracks the state of a connection. It is the ConnState hook of the server.
func (a *Acceptor) TrackConnState(connection net.Conn, state http.ConnState) {
	a.trackOpen(connection, state)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.idle.remove(connection)
	a.trackFresh(connection, state)
	if state == http.StateIdle {
		a.idle.add(connection)
	}
}

// TrackOpen is the ConnState hook of a server whose idle connections are not swept. It
// does less for each request than TrackConnState.
func (a *Acceptor) TrackOpen(connection net.Conn, state http.ConnState) {
	a.trackOpen(connection, state)
	if state == http.StateIdle {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.trackFresh(connection, state)
}

// trackOpen counts connections and follows their headers.
func (a *Acceptor) trackOpen(connection net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		a.open.Add(1)
		a.accepted.Add(1)
	case http.StateHijacked, http.StateClosed:
		a.open.Add(-1)
		a.wakeAccept()
	}
	if c := connectionOf(connection); c != nil {
		if state == http.StateIdle {
			c.received.Store(nil)
			c.late.Store(false)
		}
		c.track(state)
	}
}

// trackFresh tracks the connections before their first request. The caller holds mu.
func (a *Acceptor) trackFresh(connection net.Conn, state http.ConnState) {
	if a.fresh.remove(connection) {
		a.wakeAccept()
	}
	if state == http.StateNew {
		a.fresh.add(connection)
	}
}

// wakeAccept wakes a waiting Accept.
func (a *Acceptor) wakeAccept() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// countUnread returns the number of recently accepted connections without a first
// request.
func (a *Acceptor) countUnread(now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fresh.since(now.Add(-unreadWindow))
}

// WaitedLong reports whether a connection has probably waited to be accepted for as long as
// callers wait, and has not had its first request yet.
func WaitedLong(c net.Conn) bool {
	found := connectionOf(c)
	return found != nil && found.late.Load()
}

// Open returns the number of open connections.
func (a *Acceptor) Open() int { return int(a.open.Load()) }

// Full reports whether the maximum number of connections is open.
func (a *Acceptor) Full() bool { return a.maxOpen > 0 && a.Open() >= a.maxOpen }

// Accepted returns the number of connections accepted since the start.
func (a *Acceptor) Accepted() int { return int(a.accepted.Load()) }

// Abandoned returns the number of connections since the start that were closed as they
// were accepted, since their callers had left.
func (a *Acceptor) Abandoned() int { return int(a.abandoned.Load()) }

// OverKeepLimit reports whether so many connections are open that answers should close
// theirs.
func (a *Acceptor) OverKeepLimit() bool { return a.keepLimit > 0 && a.Open() > a.keepLimit }

// Sweep closes the connections that exceed a limit and returns their number.
func (a *Acceptor) Sweep(now time.Time, limits Limits) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	receives := func(c net.Conn) bool { return receivesHeader(c, now, limits.First) }
	return a.idle.closeExpired(now, limits.Idle, receives) + a.fresh.closeExpired(now, limits.First, carrier.HasUnread)
}

// receivesHeader reports whether a caller has sent a part of a request on an idle
// connection and the limit of a header, if there is one, has not passed since. The server
// limits the time of a header only after its first four bytes.
func receivesHeader(c net.Conn, now time.Time, limit time.Duration) bool {
	if carrier.HasUnread(c) { // first, since the server may read the bytes meanwhile
		return true
	}
	read := connectionOf(c)
	if read == nil {
		return false
	}
	since := read.received.Load()
	return since != nil && (limit <= 0 || now.Sub(*since) <= limit)
}

// queue holds waiting connections in the order in which their wait started.
type queue struct {
	order  *list.List // of waitingConn, longest wait first
	byConn map[net.Conn]*list.Element
}

// waitingConn is one waiting connection.
type waitingConn struct {
	connection net.Conn
	since      time.Time
}

func newQueue() *queue { return &queue{order: list.New(), byConn: make(map[net.Conn]*list.Element)} }

func (q *queue) add(connection net.Conn) {
	q.byConn[connection] = q.order.PushBack(waitingConn{connection, time.Now()})
}

// remove removes a connection and reports whether it was in the queue.
func (q *queue) remove(connection net.Conn) bool {
	e := q.byConn[connection]
	if e == nil {
		return false
	}
	q.order.Remove(e)
	delete(q.byConn, connection)
	return true
}

// since returns the number of connections whose wait started after a time.
func (q *queue) since(at time.Time) int {
	n := 0
	for e := q.order.Back(); e != nil && e.Value.(waitingConn).since.After(at); e = e.Prev() {
		n++
	}
	return n
}

// closeExpired closes the connections that have waited for longer than a limit and
// returns their number. It skips connections that are in use. A limit of zero closes none.
func (q *queue) closeExpired(now time.Time, limit time.Duration, inUse func(net.Conn) bool) int {
	closed := 0
	for e := q.order.Front(); e != nil && limit > 0; {
		longest := e.Value.(waitingConn)
		if now.Sub(longest.since) <= limit {
			break
		}
		e = e.Next()
		if inUse(longest.connection) {
			continue
		}
		q.remove(longest.connection)
		_ = longest.connection.Close() // the server's next read fails
		closed++
	}
	return closed
}
