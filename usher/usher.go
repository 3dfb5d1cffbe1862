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
// A flood of new connections is cut at the door: beyond a ceiling the longest
// idle connection makes room, and without one the new connection is closed
// before anything is read from it, so that its caller turns to another instance.
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
)

// Limits bound the time between two requests of a connection, and that until
// the header of its first one has come; zero is unlimited.
type Limits struct{ Idle, First time.Duration }

// Usher counts the connections of one server. It is safe for concurrent use.
type Usher struct {
	most    int
	ceiling int
	open    atomic.Int64
	turned  atomic.Int64 // connections that were closed at the door

	mu    sync.Mutex
	idle  *queue // no further request has come
	fresh *queue // no request has come yet
}

// New returns an usher that has connections kept up to a number of open ones,
// and lets no more in beyond a ceiling; zero is unlimited, each.
func New(most, ceiling int) *Usher {
	return &Usher{most: most, ceiling: ceiling, idle: newQueue(), fresh: newQueue()}
}

// Door returns a listener that lets connections in up to the ceiling.
func (u *Usher) Door(socket net.Listener) net.Listener { return door{socket, u} }

// door is a listener that turns connections away.
type door struct {
	net.Listener
	usher *Usher
}

// Accept returns the next connection that there is room for.
func (d door) Accept() (net.Conn, error) {
	for {
		connection, err := d.Listener.Accept()
		if err != nil || d.usher.makeRoom() {
			return connection, err
		}
		d.usher.turned.Add(1)
		_ = connection.Close() // its caller has sent nothing that was read
	}
}

// makeRoom reports whether one more connection may be open, after closing the
// longest idle one if that is needed.
func (u *Usher) makeRoom() bool {
	if u.ceiling == 0 || u.Open() < u.ceiling {
		return true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.idle.closeLongest()
}

// Turned returns how many connections were turned away since the start.
func (u *Usher) Turned() int64 { return u.turned.Load() }

// Note is the ConnState of the server.
func (u *Usher) Note(connection net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		u.open.Add(1)
	case http.StateHijacked, http.StateClosed:
		u.open.Add(-1)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.idle.remove(connection)
	u.fresh.remove(connection)
	switch state {
	case http.StateIdle:
		u.idle.add(connection)
	case http.StateNew:
		u.fresh.add(connection)
	}
}

// Open returns the number of open connections.
func (u *Usher) Open() int { return int(u.open.Load()) }

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

func (q *queue) remove(connection net.Conn) {
	if e := q.of[connection]; e != nil {
		q.order.Remove(e)
		delete(q.of, connection)
	}
}

// closeLongest closes the connection that has waited longest and reports whether
// there was one.
func (q *queue) closeLongest() bool {
	e := q.order.Front()
	if e == nil {
		return false
	}
	longest := e.Value.(seat)
	q.remove(longest.connection)
	_ = longest.connection.Close() // the server hears of it by its next read
	return true
}

// closeBefore closes the connections that have waited for longer than a limit.
func (q *queue) closeBefore(now time.Time, limit time.Duration) int {
	closed := 0
	for e := q.order.Front(); e != nil && limit > 0; e = q.order.Front() {
		if now.Sub(e.Value.(seat).since) <= limit {
			break
		}
		q.closeLongest()
		closed++
	}
	return closed
}
