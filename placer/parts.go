package placer

import (
	"container/list"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// maxCachedParts is the maximum number of cached parts that are tracked per upstream.
const maxCachedParts = 4096

// partCache models the prefix cache of an engine as the prompt parts that were
// sent to it last.
type partCache struct {
	byID   map[string]*list.Element
	order  *list.List // of cachedPart, most recently used first
	tokens int64
}

type cachedPart struct {
	part redwingshunt.Part
	used time.Time
}

func newPartCache() partCache {
	return partCache{byID: make(map[string]*list.Element), order: list.New()}
}

// touch adds a part, or marks it as the most recently used one. It reports whether the
// part is new.
func (c *partCache) touch(part redwingshunt.Part, now time.Time) bool {
	if e, ok := c.byID[part.ID]; ok {
		e.Value = cachedPart{part, now}
		c.order.MoveToFront(e)
		return false
	}
	c.byID[part.ID] = c.order.PushFront(cachedPart{part, now})
	c.tokens += part.Tokens
	return true
}

// remove removes parts that were added at a time and not used since.
func (c *partCache) remove(parts []redwingshunt.Part, added time.Time) {
	for _, part := range parts {
		e, ok := c.byID[part.ID]
		if !ok || !e.Value.(cachedPart).used.Equal(added) {
			continue
		}
		c.tokens -= c.order.Remove(e).(cachedPart).part.Tokens
		delete(c.byID, part.ID)
	}
}

// evict removes the least recently used parts until the rest fits a limit in
// tokens. A limit of zero bounds only the number of parts.
func (c *partCache) evict(limit int64) {
	for c.order.Len() > maxCachedParts || limit > 0 && c.tokens > limit && c.order.Len() > 1 {
		oldest := c.order.Back()
		evicted := c.order.Remove(oldest).(cachedPart)
		delete(c.byID, evicted.part.ID)
		c.tokens -= evicted.part.Tokens
	}
}

// cached returns the number of tokens in the longest cached prefix of a prompt.
func (c *partCache) cached(prompt []redwingshunt.Part) int64 {
	tokens := int64(0)
	for _, part := range prompt {
		if _, ok := c.byID[part.ID]; !ok {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}
