// Package usher looks after the connections that callers keep open to one
// address between their requests.
//
// A kept connection holds buffers and a goroutine. A few callers may open
// thousands of them at one instance within seconds; their memory then leaves
// garbage collection no room, and the instance spends its processor time on
// that instead of on requests. The usher counts connections, says when there
// are so many that an answer should close its own, and ends those that have
// carried no request for longer than the document allows.
//
// # Usage
//
//	u := usher.New(most)
//	server := &http.Server{ConnState: u.Note, ...}
//	if u.Crowded() { header.Set("Connection", "close") }
//	u.Sweep(time.Now(), limits.Idle) // from time to time
package usher

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Usher counts the connections of one server. It is safe for concurrent use.
type Usher struct {
	most int
	open atomic.Int64

	mu      sync.Mutex
	idle    *list.List // of seat; longest idle in front
	waiting map[net.Conn]*list.Element
}

// seat is one connection without a request.
type seat struct {
	connection net.Conn
	since      time.Time
}

// New returns an usher that has connections kept up to a number of open ones;
// zero is unlimited.
func New(most int) *Usher {
	return &Usher{most: most, idle: list.New(), waiting: make(map[net.Conn]*list.Element)}
}

// Note is the ConnState of the server.
func (u *Usher) Note(connection net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		u.open.Add(1)
		return
	case http.StateHijacked, http.StateClosed:
		u.open.Add(-1)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if e := u.waiting[connection]; e != nil {
		u.idle.Remove(e)
		delete(u.waiting, connection)
	}
	if state == http.StateIdle {
		u.waiting[connection] = u.idle.PushBack(seat{connection, time.Now()})
	}
}

// Open returns the number of open connections.
func (u *Usher) Open() int { return int(u.open.Load()) }

// Crowded reports whether connections should be closed after their answers.
func (u *Usher) Crowded() bool { return u.most > 0 && u.Open() > u.most }

// Sweep closes the connections that have been idle for longer than a limit and
// returns how many; a limit of zero closes none.
func (u *Usher) Sweep(now time.Time, limit time.Duration) int {
	if limit == 0 {
		return 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	closed := 0
	for e := u.idle.Front(); e != nil; e = u.idle.Front() {
		longest := e.Value.(seat)
		if now.Sub(longest.since) <= limit {
			break
		}
		u.idle.Remove(e)
		delete(u.waiting, longest.connection)
		_ = longest.connection.Close() // the server hears of it by its next read
		closed++
	}
	return closed
}
