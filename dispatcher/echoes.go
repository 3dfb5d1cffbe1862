package dispatcher

import (
	"net/netip"
	"sync"
)

// mostEchoes bounds the addresses that are remembered.
const mostEchoes = 16_384

// echoes are the addresses whose last answer named its request. A connection to
// any other address carries one request alone: a second copy of an answer that
// comes late could not be told from the answer to the next one.
type echoes struct {
	mu    sync.Mutex
	known map[netip.AddrPort]struct{}
}

func (e *echoes) has(address netip.AddrPort) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.known[address]
	return ok
}

func (e *echoes) add(address netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known == nil || len(e.known) >= mostEchoes {
		e.known = make(map[netip.AddrPort]struct{})
	}
	e.known[address] = struct{}{}
}

func (e *echoes) remove(address netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.known, address)
}
