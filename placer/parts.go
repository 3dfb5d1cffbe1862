package placer

import (
	"container/list"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// maxParts bounds the remembered parts of one upstream.
const maxParts = 4096

// partCache is what an engine is believed to keep: the parts that were sent to
// it last.
type partCache struct {
	byID   map[string]*list.Element
	order  *list.List // of kept; last used in front
	tokens int64
}

type kept struct {
	part redwingshunt.Part
	used time.Time
}

func newPartCache() partCache {
	return partCache{byID: make(map[string]*list.Element), order: list.New()}
}

// use notes that a part was read or found.
func (c *partCache) use(part redwingshunt.Part, now time.Time) {
	if e, ok := c.byID[part.ID]; ok {
		e.Value = kept{part, now}
		c.order.MoveToFront(e)
		return
	}
	c.byID[part.ID] = c.order.PushFront(kept{part, now})
	c.tokens += part.Tokens
}

// shrink drops what was used longest ago until the rest fits.
func (c *partCache) shrink(limit int64) {
	for c.order.Len() > maxParts || limit > 0 && c.tokens > limit && c.order.Len() > 1 {
		last := c.order.Back()
		dropped := c.order.Remove(last).(kept)
		delete(c.byID, dropped.part.ID)
		c.tokens -= dropped.part.Tokens
	}
}

// found returns the tokens at the beginning of a prompt that are kept.
func (c *partCache) found(prompt []redwingshunt.Part) int64 {
	tokens := int64(0)
	for _, part := range prompt {
		if _, ok := c.byID[part.ID]; !ok {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}
