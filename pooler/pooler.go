// Package pooler pools the times of classes of requests over all instances, so that an
// instance with few requests of a class knows what the fleet has seen of it.
//
// Each router sends the counts of its recent times to its gatherer, a gatherer the sums over
// its routers to the other gatherers, and to each router the sum over all other routers.
// Counts are snapshots of a window: a newer one of a sender replaces the one before, so that
// one which arrives late or twice counts once, and one that is not renewed expires.
//
// Sender decides which counts of a router are due, and Pool sums at a gatherer. They read no
// clock and send nothing; packages allocator and gatherer drive them.
//
// # Usage
//
//	var sender pooler.Sender
//	withdrawn := sender.Change(now, id) // whenever the gatherer changes
//	due := sender.Due(now, own)         // times to be sent to it
//
//	pool := pooler.New()
//	pool.Receive(now, router, false, sequence, times)
//	for router, times := range pool.Replies(now, routers) { ... }
//	times := pool.Sums(now) // for other gatherers
//	pool.KeepGatherers(live)
package pooler

import (
	"cmp"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// MaxClasses bounds the classes of one instance and of the fleet.
	MaxClasses = 64
	// MaxSize is the largest prompt size of a class.
	MaxSize = 8
	// MaxTimes bounds the times of a class that one router reports; more are scaled down to
	// it. It keeps quantiles within 0.5%, and one that reports false times is 3% of 79
	// routers with 80 times each.
	MaxTimes = 200
	// maxSum bounds the times of a class that one gatherer reports: those of 2,000 routers.
	maxSum = 2000 * MaxTimes
)

// Class is a group of requests whose times relative to their predictions are alike.
type Class struct {
	Service redwingshunt.ServiceID
	Kind    redwingshunt.RouteKind
	Size    int // of the prompt, see hedger.SizeOf
}

// compare orders classes by service, kind and size.
func (c Class) compare(other Class) int {
	return cmp.Or(cmp.Compare(c.Service, other.Service), cmp.Compare(c.Kind, other.Kind), cmp.Compare(c.Size, other.Size))
}

// Times are the recent times of a class. Without any, they withdraw the ones sent before.
type Times struct {
	Class  Class
	Counts Counts
}

// Ignored counts times that were received and are not used, by reason.
type Ignored struct {
	Invalid int // a class, bucket or count that cannot be
	Unknown int // no service that may be hedged
	TooMany int // above MaxClasses
}

// Add adds up two of them.
func (i Ignored) Add(other Ignored) Ignored {
	return Ignored{Invalid: i.Invalid + other.Invalid, Unknown: i.Unknown + other.Unknown, TooMany: i.TooMany + other.TooMany}
}
