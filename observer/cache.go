package observer

import "sync"

// cache keeps metrics by their labels, because each lookup in a scope builds the
// label set again. Labels are names from the document, so the cache is no larger
// than the scope.
type cache[K comparable, V any] struct {
	build func(K) V

	mu   sync.RWMutex
	kept map[K]V
}

func newCache[K comparable, V any](build func(K) V) *cache[K, V] {
	return &cache[K, V]{build: build, kept: make(map[K]V)}
}

// get returns the metric for a key and builds it on first use.
func (c *cache[K, V]) get(key K) V {
	c.mu.RLock()
	v, ok := c.kept[key]
	c.mu.RUnlock()
	if ok {
		return v
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if v, ok = c.kept[key]; !ok {
		v = c.build(key)
		c.kept[key] = v
	}
	return v
}
