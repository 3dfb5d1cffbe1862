// Package usher limits the connections of callers to one address that carry no
// request: idle keep-alive connections, and new connections before their first
// request.
//
// An idle connection holds buffers and a goroutine. A few callers may open thousands
// of them on one instance within seconds; there is then too little memory left for
// garbage collection, which takes the processor time of requests. The usher counts
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
// # Usage
//
//	u := usher.New(keepLimit, maxOpen)
//	server.Serve(u.LimitListener(socket))
//	server := &http.Server{ConnState: u.TrackConnState, ...}
//	if u.OverKeepLimit() { header.Set("Connection", "close") }
//	u.Sweep(time.Now(), usher.Limits{Idle: limits.Idle, First: limits.HeaderTime}) // periodically
package usher

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
)

// Limits holds the maximum time between two requests of a connection, and the
// maximum time until the header of its first request is received; zero is unlimited.
type Limits struct{ Idle, First time.Duration }

// Usher counts the connections of one server. It is safe for concurrent use.
type Usher struct {
	keepLimit int
	maxOpen   int
	open      atomic.Int64
	accepted  atomic.Int64  // connections since the start
	changed   chan struct{} // buffers one signal: a connection ended, or its first request was read

	mu    sync.Mutex
	idle  *queue // connections between two requests
	fresh *queue // connections before their first request
}

// New returns an usher that keeps connections alive while at most the first number
// of them are open, and accepts no more at the second number; zero is unlimited for
// each.
func New(keepLimit, maxOpen int) *Usher {
	return &Usher{keepLimit: keepLimit, maxOpen: maxOpen, changed: make(chan struct{}, 1), idle: newQueue(), fresh: newQueue()}
}

// LimitListener returns a listener that accepts connections up to the maximum.
func (u *Usher) LimitListener(socket net.Listener) net.Listener {
	return &limitListener{Listener: socket, usher: u, closed: make(chan struct{})}
}

// limitListener is a listener that waits for capacity before it accepts.
type limitListener struct {
	net.Listener
	usher  *Usher
	once   sync.Once
	closed chan struct{}
}

// Accept returns the next connection once there is capacity for it.
func (l *limitListener) Accept() (net.Conn, error) {
	for l.usher.Full() || l.usher.countUnread(time.Now()) >= maxUnread {
		timer := time.NewTimer(unreadWindow)
		select {
		case <-l.usher.changed:
		case <-timer.C:
		case <-l.closed:
			return nil, net.ErrClosed
		}
		timer.Stop()
	}
	return l.Listener.Accept()
}

// Close closes the listener and ends a waiting Accept.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// TrackConnState tracks the state of a connection. It is the ConnState hook of the server.
func (u *Usher) TrackConnState(connection net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		u.open.Add(1)
		u.accepted.Add(1)
	case http.StateHijacked, http.StateClosed:
		u.open.Add(-1)
		u.wakeAccept()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.idle.remove(connection)
	if u.fresh.remove(connection) {
		u.wakeAccept()
	}
	switch state {
	case http.StateIdle:
		u.idle.add(connection)
	case http.StateNew:
		u.fresh.add(connection)
	}
}

// wakeAccept wakes a waiting Accept.
func (u *Usher) wakeAccept() {
	select {
	case u.changed <- struct{}{}:
	default:
	}
}

// countUnread returns the number of recently accepted connections without a first
// request.
func (u *Usher) countUnread(now time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.fresh.since(now.Add(-unreadWindow))
}

// Open returns the number of open connections.
func (u *Usher) Open() int { return int(u.open.Load()) }

// Full reports whether the maximum number of connections is open.
func (u *Usher) Full() bool { return u.maxOpen > 0 && u.Open() >= u.maxOpen }

// Accepted returns the number of connections accepted since the start.
func (u *Usher) Accepted() int { return int(u.accepted.Load()) }

// OverKeepLimit reports whether so many connections are open that answers should close
// theirs.
func (u *Usher) OverKeepLimit() bool { return u.keepLimit > 0 && u.Open() > u.keepLimit }

// Sweep closes the connections that exceed a limit and returns their number.
func (u *Usher) Sweep(now time.Time, limits Limits) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.idle.closeExpired(now, limits.Idle) + u.fresh.closeExpired(now, limits.First)
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
// returns their number. It skips connections with received data that the server has
// not read yet. A limit of zero closes none.
func (q *queue) closeExpired(now time.Time, limit time.Duration) int {
	closed := 0
	for e := q.order.Front(); e != nil && limit > 0; {
		longest := e.Value.(waitingConn)
		if now.Sub(longest.since) <= limit {
			break
		}
		e = e.Next()
		if carrier.HasUnread(longest.connection) {
			continue
		}
		q.remove(longest.connection)
		_ = longest.connection.Close() // the server's next read fails
		closed++
	}
	return closed
}
