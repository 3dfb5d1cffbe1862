// Package usher looks after the connections of callers to one address that
// carry no request: those kept open between requests, and those opened for a
// first one.
//
// A kept connection holds buffers and a goroutine. A few callers may open
// thousands of them at one instance within seconds; their memory then leaves
// garbage collection no room, and the instance spends its processor time on
// that instead of on requests. The usher counts connections, says when there
// are so many that an answer should close its own, and ends those that have
// carried no request for longer than the document allows. Limits hold from the
// next sweep on, for open connections too, which those of a server do not.
//
// A flood of new connections waits at the door: at a ceiling no more are taken
// from the system, which holds them at little cost, until one ends. Nothing is
// closed for it, since a request may be on its way on any of them; a caller that
// is not read soon turns to another instance by itself. Connections also wait
// there while many have been let in a moment ago and not been read: an instance
// that only takes connections has no time for the ones that it has.
//
// # Usage
//
//	u := usher.New(most, ceiling)
//	server.Serve(u.Door(socket))
//	server := &http.Server{ConnState: u.Note, ...}
//	if u.Crowded() { header.Set("Connection", "close") }
//	u.Sweep(time.Now(), usher.Limits{Idle: limits.Idle, First: limits.HeaderTime}) // from time to time
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
	// unreadMost connections are let in before a first request of theirs is read.
	unreadMost = 64
	// unreadFor is how long a connection counts for that; a caller may take its
	// time.
	unreadFor = 50 * time.Millisecond
)

// Limits bound the time between two requests of a connection, and that until
// the header of its first one has come; zero is unlimited.
type Limits struct{ Idle, First time.Duration }

// Usher counts the connections of one server. It is safe for concurrent use.
type Usher struct {
	most    int
	ceiling int
	open    atomic.Int64
	taken   atomic.Int64  // connections since the start
	left    chan struct{} // holds one: a connection has ended, or its first request was read

	mu    sync.Mutex
	idle  *queue // no further request has come
	fresh *queue // no request has come yet
}

// New returns an usher that has connections kept up to a number of open ones,
// and lets no more in beyond a ceiling; zero is unlimited, each.
func New(most, ceiling int) *Usher {
	return &Usher{most: most, ceiling: ceiling, left: make(chan struct{}, 1), idle: newQueue(), fresh: newQueue()}
}

// Door returns a listener that lets connections in up to the ceiling.
func (u *Usher) Door(socket net.Listener) net.Listener {
	return &door{Listener: socket, usher: u, closed: make(chan struct{})}
}

// door is a listener that waits for room.
type door struct {
	net.Listener
	usher  *Usher
	once   sync.Once
	closed chan struct{}
}

// Accept returns the next connection once there is room for it.
func (d *door) Accept() (net.Conn, error) {
	for d.usher.Shut() || d.usher.unread(time.Now()) >= unreadMost {
		wait := time.NewTimer(unreadFor)
		select {
		case <-d.usher.left:
		case <-wait.C:
		case <-d.closed:
			return nil, net.ErrClosed
		}
		wait.Stop()
	}
	return d.Listener.Accept()
}

// Close ends the wait for room as well.
func (d *door) Close() error {
	d.once.Do(func() { close(d.closed) })
	return d.Listener.Close()
}

// Note is the ConnState of the server.
func (u *Usher) Note(connection net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		u.open.Add(1)
		u.taken.Add(1)
	case http.StateHijacked, http.StateClosed:
		u.open.Add(-1)
		u.signal()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.idle.remove(connection)
	if u.fresh.remove(connection) {
		u.signal()
	}
	switch state {
	case http.StateIdle:
		u.idle.add(connection)
	case http.StateNew:
		u.fresh.add(connection)
	}
}

// signal lets the door look for room.
func (u *Usher) signal() {
	select {
	case u.left <- struct{}{}:
	default:
	}
}

// unread returns how many connections were let in a moment ago of which no
// request has been read.
func (u *Usher) unread(now time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.fresh.since(now.Add(-unreadFor))
}

// Open returns the number of open connections.
func (u *Usher) Open() int { return int(u.open.Load()) }

// Shut reports whether no more connections are let in.
func (u *Usher) Shut() bool { return u.ceiling > 0 && u.Open() >= u.ceiling }

// Taken returns the number of connections since the start.
func (u *Usher) Taken() int { return int(u.taken.Load()) }

// Crowded reports whether connections should be closed after their answers.
func (u *Usher) Crowded() bool { return u.most > 0 && u.Open() > u.most }

// Sweep closes the connections that are beyond a limit and returns how many.
func (u *Usher) Sweep(now time.Time, limits Limits) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.idle.closeBefore(now, limits.Idle) + u.fresh.closeBefore(now, limits.First)
}

// queue keeps connections by the time for which they have waited.
type queue struct {
	order *list.List // of seat; longest in front
	of    map[net.Conn]*list.Element
}

// seat is one connection that waits.
type seat struct {
	connection net.Conn
	since      time.Time
}

func newQueue() *queue { return &queue{order: list.New(), of: make(map[net.Conn]*list.Element)} }

func (q *queue) add(connection net.Conn) {
	q.of[connection] = q.order.PushBack(seat{connection, time.Now()})
}

// remove reports whether the connection was there.
func (q *queue) remove(connection net.Conn) bool {
	e := q.of[connection]
	if e == nil {
		return false
	}
	q.order.Remove(e)
	delete(q.of, connection)
	return true
}

// since returns how many connections have begun to wait after a time.
func (q *queue) since(at time.Time) int {
	n := 0
	for e := q.order.Back(); e != nil && e.Value.(seat).since.After(at); e = e.Prev() {
		n++
	}
	return n
}

// closeBefore closes the connections that have waited for longer than a limit, but
// for those on which a request has come that the server has had no time to read.
func (q *queue) closeBefore(now time.Time, limit time.Duration) int {
	closed := 0
	for e := q.order.Front(); e != nil && limit > 0; {
		longest := e.Value.(seat)
		if now.Sub(longest.since) <= limit {
			break
		}
		e = e.Next()
		if carrier.Waiting(longest.connection) {
			continue
		}
		q.remove(longest.connection)
		_ = longest.connection.Close() // the server hears of it by its next read
		closed++
	}
	return closed
}
