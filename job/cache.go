package job

// resultCache holds the listed results of jobs, for each job a range of positions
// without a gap, up to its limit in all. It is guarded by the service's lock.
type resultCache struct {
	jobs     map[string]*cachedResults
	order    []string
	bytes    int64
	limit    int64
	onChange func(n int64)
}

// cachedResults are the results of one job from position first on.
type cachedResults struct {
	first   int
	results []Result
}

// maxCacheBytes is a small part of the memory of the smallest instance.
const maxCacheBytes = 16 << 20

// cachedResultBytes is the memory for a cached result beside its texts.
const cachedResultBytes = 128

// newResultCache returns a cache of up to limit bytes if that is positive and below
// maxCacheBytes. onChange is called with each change of its size.
func newResultCache(limit int64, onChange func(n int64)) *resultCache {
	if limit <= 0 || limit > maxCacheBytes {
		limit = maxCacheBytes
	}
	return &resultCache{jobs: map[string]*cachedResults{}, limit: limit, onChange: onChange}
}

// change counts bytes of a result.
func (c *resultCache) change(r *Result, sign int64) {
	n := sign * int64(r.Bytes()+cachedResultBytes)
	c.bytes += n
	c.onChange(n)
}

// add appends the results that begin at position first, unless that leaves a gap
// after the cached ones. It evicts the jobs that were added first while the cache is
// over its limit and has another job.
func (c *resultCache) add(id string, first int, results []Result) {
	j, ok := c.jobs[id]
	if !ok {
		j = &cachedResults{first: first}
		c.jobs[id] = j
		c.order = append(c.order, id)
	}
	next := j.first + len(j.results)
	if first > next {
		return
	}
	for i, r := range results {
		if first+i >= next {
			j.results = append(j.results, r)
			c.change(&r, 1)
		}
	}
	for c.bytes > c.limit && len(c.order) > 1 {
		c.drop(c.order[0])
	}
}

// drop removes the results of a job.
func (c *resultCache) drop(id string) {
	j, ok := c.jobs[id]
	if !ok {
		return
	}
	for _, r := range j.results {
		c.change(&r, -1)
	}
	delete(c.jobs, id)
	for i, other := range c.order {
		if other == id {
			c.order = append(c.order[:i], c.order[i+1:]...)
			break
		}
	}
}

// from returns the cached results from a position on, up to a number of bytes.
func (c *resultCache) from(id string, after, maxBytes int) []Result {
	j, ok := c.jobs[id]
	if !ok || after < j.first || after >= j.first+len(j.results) {
		return nil
	}
	return limitBytes(j.results[after-j.first:], maxBytes)
}

// limitBytes cuts results to a number of bytes. It keeps at least the first result.
func limitBytes(results []Result, maxBytes int) []Result {
	for i, r := range results {
		maxBytes -= r.Bytes()
		if maxBytes < 0 && i > 0 {
			return results[:i]
		}
	}
	return results
}

// bodyCache holds the items of the jobs that were loaded last, up to maxCachedBodyBytes. It is
// guarded by the service's lock.
type bodyCache struct {
	jobs  map[string][]Item
	order []string
	bytes int64
}

// maxCachedBodyBytes is some ten jobs of ordinary size. A larger job is not cached.
const maxCachedBodyBytes = 2 << 20

func newBodyCache() *bodyCache { return &bodyCache{jobs: map[string][]Item{}} }

func (c *bodyCache) get(id string) ([]Item, bool) {
	items, ok := c.jobs[id]
	return items, ok
}

func (c *bodyCache) put(id string, items []Item) {
	size := loadedBytes(items)
	if _, ok := c.jobs[id]; ok || size > maxCachedBodyBytes {
		return
	}
	c.jobs[id] = items
	c.order = append(c.order, id)
	for c.bytes += size; c.bytes > maxCachedBodyBytes; c.order = c.order[1:] {
		c.bytes -= loadedBytes(c.jobs[c.order[0]])
		delete(c.jobs, c.order[0])
	}
}
