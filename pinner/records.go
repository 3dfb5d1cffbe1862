package pinner

import (
	"container/heap"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// MaxRecords bounds the records of one instance. One takes some 200 bytes.
const MaxRecords = 1 << 17

// maxInterned bounds the distinct origins that records share.
const maxInterned = 1024

// Record is the origin of one stream.
type Record struct {
	Key    redwingshunt.StreamKey
	Origin redwingshunt.Origin
	Until  time.Time // when it expires
}

// Records holds origins until they expire. It is used by one goroutine at a time.
type Records struct {
	byKey    map[redwingshunt.StreamKey]*entry
	byExpiry expiryHeap
	interned map[redwingshunt.Origin]*redwingshunt.Origin
	since    time.Time
}

// entry is a record whose origin is shared with other records.
type entry struct {
	key    redwingshunt.StreamKey
	origin *redwingshunt.Origin
	until  time.Time
	index  int // in the heap
}

// NewRecords returns an empty collection.
func NewRecords(now time.Time) *Records {
	return &Records{
		byKey:    make(map[redwingshunt.StreamKey]*entry),
		interned: make(map[redwingshunt.Origin]*redwingshunt.Origin),
		since:    now,
	}
}

// Put adds a record. The first origin of a stream holds; a later record only extends
// its time. If there are too many records, the one that expires first is dropped.
func (r *Records) Put(now time.Time, record Record) {
	r.expire(now)
	if known := r.byKey[record.Key]; known != nil {
		if record.Until.After(known.until) {
			known.until = record.Until
			heap.Fix(&r.byExpiry, known.index)
		}
		return
	}
	if len(r.byKey) >= MaxRecords {
		r.drop()
		r.since = now // an origin is missing from now on
	}
	e := &entry{key: record.Key, origin: r.intern(record.Origin), until: record.Until}
	r.byKey[record.Key] = e
	heap.Push(&r.byExpiry, e)
}

// Get returns the origin of a stream, if it is known.
func (r *Records) Get(now time.Time, key redwingshunt.StreamKey) (redwingshunt.Origin, bool) {
	e := r.byKey[key]
	if e == nil || e.until.Before(now) {
		return redwingshunt.Origin{}, false
	}
	return *e.origin, true
}

// Of returns the records of a service that have not expired.
func (r *Records) Of(now time.Time, service redwingshunt.ServiceID) []Record {
	r.expire(now)
	var records []Record
	for key, e := range r.byKey {
		if e.origin.Service == service {
			records = append(records, Record{Key: key, Origin: *e.origin, Until: e.until})
		}
	}
	return records
}

// Len returns the number of records.
func (r *Records) Len() int { return len(r.byKey) }

// Since returns the time since when no record was dropped before it expired.
func (r *Records) Since() time.Time { return r.since }

func (r *Records) expire(now time.Time) {
	for len(r.byExpiry) > 0 && r.byExpiry[0].until.Before(now) {
		r.drop()
	}
}

// drop removes the record that expires first.
func (r *Records) drop() {
	delete(r.byKey, heap.Pop(&r.byExpiry).(*entry).key)
}

func (r *Records) intern(origin redwingshunt.Origin) *redwingshunt.Origin {
	if shared := r.interned[origin]; shared != nil {
		return shared
	}
	if len(r.interned) >= maxInterned {
		clear(r.interned)
	}
	r.interned[origin] = &origin
	return &origin
}

// expiryHeap orders records by the time at which they expire.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].until.Before(h[j].until) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
