package daemon

import "github.com/redwingshunt/redwingshunt"

// reserveSize is how much garbage an instance may gather beyond what the
// collector allows by its own rule.
const reserveSize = 32 << 20 // bytes

// newReserve returns memory that is never used and has to be kept alive while
// the instance runs.
//
// The collector runs when the heap has doubled. An instance keeps a few MB and
// makes some 20 KB of garbage a request, so that it would collect many times a
// second:
//
//	kept    collects after     requests between at 20 KB each
//	4 MB    4 MB               200
//	36 MB   36 MB, 4 MB used   1,800
//
// The reserve counts as kept, but since nothing is ever written to it, it takes
// address space and no memory; the garbage between two collections does, up to
// its size.
//
// An instance without the address for models and services holds no prompts and
// answers of its own making; it gets by with leanReserve.
func newReserve(settings redwingshunt.Settings) []byte {
	if !settings.Listen.IsValid() {
		return make([]byte, leanReserve)
	}
	return make([]byte, reserveSize)
}

// leanReserve is the reserve of a router of routes or a keeper.
const leanReserve = 8 << 20 // bytes
