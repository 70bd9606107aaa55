package job

// resultCache keeps results by job, from position 0 or any other on without a
// gap, up to a number of bytes. It is guarded by the service's lock.
type resultCache struct {
	jobs  map[string]*cachedResults
	order []string
	bytes int
}

type cachedResults struct {
	first   int
	results []Result
}

// maxCacheBytes is a small part of the memory of the smallest instance.
const maxCacheBytes = 16 << 20

func newResultCache() *resultCache { return &resultCache{jobs: map[string]*cachedResults{}} }

// add keeps results from a position on, if they join what is there.
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
			c.bytes += len(r.Text)
		}
	}
	for c.bytes > maxCacheBytes && len(c.order) > 1 {
		c.drop(c.order[0])
	}
}

func (c *resultCache) drop(id string) {
	j, ok := c.jobs[id]
	if !ok {
		return
	}
	for _, r := range j.results {
		c.bytes -= len(r.Text)
	}
	delete(c.jobs, id)
	for i, other := range c.order {
		if other == id {
			c.order = append(c.order[:i], c.order[i+1:]...)
			break
		}
	}
}

// from returns what is kept from a position on, up to a number of bytes.
func (c *resultCache) from(id string, after, bytes int) []Result {
	j, ok := c.jobs[id]
	if !ok || after < j.first || after >= j.first+len(j.results) {
		return nil
	}
	return c.limit(j.results[after-j.first:], bytes)
}

// limit cuts results to a number of bytes, but never to none.
func (c *resultCache) limit(results []Result, bytes int) []Result {
	for i, r := range results {
		bytes -= len(r.Text)
		if bytes < 0 && i > 0 {
			return results[:i]
		}
	}
	return results
}

// bodyCache keeps the items of the last few jobs that were read. It is guarded
// by the service's lock.
type bodyCache struct {
	jobs  map[string][]Item
	order []string
}

// maxCachedJobs of ordinary size are a few MB.
const maxCachedJobs = 8

func newBodyCache() *bodyCache { return &bodyCache{jobs: map[string][]Item{}} }

func (c *bodyCache) get(id string) ([]Item, bool) {
	items, ok := c.jobs[id]
	return items, ok
}

func (c *bodyCache) put(id string, items []Item) {
	if _, ok := c.jobs[id]; ok {
		return
	}
	c.jobs[id] = items
	c.order = append(c.order, id)
	if len(c.order) > maxCachedJobs {
		delete(c.jobs, c.order[0])
		c.order = c.order[1:]
	}
}
