package engine

import (
	"container/list"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/daisylb/daisylb/contract"
)

// prefixCache remembers which prompt prefixes were computed, message by
// message, and forgets the least recently used when its memory is full.
type prefixCache struct {
	capacity int

	mu      sync.Mutex
	used    int
	entries map[uint64]*list.Element
	recent  *list.List
}

type cacheEntry struct {
	key    uint64
	tokens int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, entries: map[uint64]*list.Element{}, recent: list.New()}
}

// add looks a prompt up and stores it. It returns the number of prompt tokens
// in all and of those that were cached.
func (c *prefixCache) add(messages []contract.Message) (total, cached int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := xxhash.New()
	hit := true
	for _, m := range messages {
		hashMessage(d, m)
		tokens := len(m.Content)/bytesPerToken + 1
		total += tokens
		element, found := c.entries[d.Sum64()]
		hit = hit && found
		if hit {
			cached += tokens
		}
		if found {
			c.recent.MoveToFront(element)
			continue
		}
		c.insert(cacheEntry{d.Sum64(), tokens})
	}
	return total, cached
}

func (c *prefixCache) insert(e cacheEntry) {
	c.entries[e.key] = c.recent.PushFront(e)
	c.used += e.tokens
	for c.used > c.capacity {
		oldest := c.recent.Back()
		evicted := c.recent.Remove(oldest).(cacheEntry)
		delete(c.entries, evicted.key)
		c.used -= evicted.tokens
	}
}

// use returns the used share of the cache's memory.
func (c *prefixCache) use() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.used) / float64(c.capacity)
}
