package daemon

import "github.com/redwingshunt/redwingshunt"

// ballastBytes is the heap ballast: the additional garbage that an instance may
// accumulate before the garbage collector runs.
const ballastBytes = 32 << 20

// newBallast allocates the heap ballast. It is never accessed and must be kept
// alive while the instance runs.
//
// The garbage collector runs when the heap has doubled. An instance has a few MB
// of live heap and allocates about 20 KB a request, so that without ballast it
// would collect many times a second:
//
//	live heap   collects after     requests between, at 20 KB each
//	4 MB        4 MB               200
//	36 MB       36 MB, 4 MB used   1,800
//
// The ballast counts as live heap but is never written to, and therefore takes
// address space and no resident memory. The garbage between two collections does
// take memory, up to the size of the ballast.
//
// An instance without a listen address for models and services holds no prompts
// and answers in memory; routerBallastBytes is enough for it.
func newBallast(settings redwingshunt.Settings) []byte {
	size := int64(ballastBytes)
	if !settings.Listen.IsValid() {
		size = routerBallastBytes
	}
	if settings.Memory > 0 {
		size = min(size, settings.Memory/ballastDivisor)
	}
	return make([]byte, size)
}

// ballastDivisor sets the part of the memory, 1/ballastDivisor, that the ballast and so
// the garbage that it allows may take.
const ballastDivisor = 8

// routerBallastBytes is the ballast of an instance that only serves routes or
// keeps the log.
const routerBallastBytes = 8 << 20
