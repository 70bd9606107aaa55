package engine

import (
	"container/list"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/daisylb/daisylb/contract"
)

// prefixCache records which prompt prefixes were computed, in whole messages, and
// evicts the least recently used when its capacity is exceeded.
type prefixCache struct {
	capacityTokens int

	mu         sync.Mutex
	usedTokens int
	entries    map[uint64]*list.Element
	recent     *list.List
}

type cacheEntry struct {
	key    uint64
	tokens int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacityTokens: capacity, entries: map[uint64]*list.Element{}, recent: list.New()}
}

// add looks up the prefixes of a prompt and stores those that are missing. It
// returns the number of prompt tokens, and of those the number that was cached.
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
	c.usedTokens += e.tokens
	for c.usedTokens > c.capacityTokens {
		oldest := c.recent.Back()
		evicted := c.recent.Remove(oldest).(cacheEntry)
		delete(c.entries, evicted.key)
		c.usedTokens -= evicted.tokens
	}
}

// usedShare returns the used share of the capacity, 0 to 1.
func (c *prefixCache) usedShare() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.usedTokens) / float64(c.capacityTokens)
}
