package observer

import "sync"

// cache keeps metrics by their labels, since looking one up in a scope builds
// the labels anew each time. Labels are names out of the document, so it stays
// as small as the scope itself.
type cache[K comparable, V any] struct {
	build func(K) V

	mu   sync.RWMutex
	kept map[K]V
}

func newCache[K comparable, V any](build func(K) V) *cache[K, V] {
	return &cache[K, V]{build: build, kept: make(map[K]V)}
}

// get returns the metric of a key, built at the first call.
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
