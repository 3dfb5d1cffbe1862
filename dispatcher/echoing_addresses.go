package dispatcher

import (
	"net/netip"
	"sync"
)

// maxEchoingAddresses bounds the memory of echoingAddresses.
const maxEchoingAddresses = 16_384

// echoingAddresses holds the addresses whose last response carried the ID of its
// request. A connection to any other address carries a single request: without
// the ID, a late duplicate of a response can't be told from the next response.
type echoingAddresses struct {
	mu        sync.Mutex
	addresses map[netip.AddrPort]struct{}
}

func (e *echoingAddresses) has(address netip.AddrPort) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.addresses[address]
	return ok
}

func (e *echoingAddresses) add(address netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.addresses == nil || len(e.addresses) >= maxEchoingAddresses {
		e.addresses = make(map[netip.AddrPort]struct{})
	}
	e.addresses[address] = struct{}{}
}

func (e *echoingAddresses) remove(address netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.addresses, address)
}
