package route

import (
	"math/bits"
	"time"

	"github.com/daisylb/daisylb/contract"
)

// View is the set of upstreams among which a request is placed.
type View interface {
	// Len returns the number of upstreams.
	Len() int
	// Key returns the hash of the identifier of upstream i.
	Key(i int) uint64
	// Candidate returns what is known of upstream i.
	Candidate(i int) Candidate
}

// Policy names a way to choose.
type Policy int

const (
	// Adaptive weighs a few random candidates by their cost, and keeps slots
	// for short work. The others do neither.
	Adaptive Policy = iota
	// Random takes any upstream.
	Random
	// RoundRobin takes one upstream after the other.
	RoundRobin
	// LeastInFlight takes the upstream with the fewest own requests.
	LeastInFlight
)

// Query describes the request that is placed.
type Query struct {
	Class contract.Class
	Long  bool
	// ShortReserve is the number of slots per upstream that long work leaves to
	// short work.
	ShortReserve int
	// Affinity is a hash of the prompt's beginning; 0 means none.
	Affinity uint64
	// Avoid is the key of an upstream that just failed the request; 0 means
	// none.
	Avoid uint64
	// Prior is the time to the first token of an unobserved upstream.
	Prior time.Duration
	// Batch holds what the preset in force leaves to batch work.
	Batch BatchTerms
	// Choices is the number of random candidates; 0 means defaultChoices.
	Choices int
	Policy  Policy
	// Turn is the position of RoundRobin.
	Turn uint64
}

// defaultChoices is the number of candidates that are weighed. With two, both
// are slow for one request in eleven when three of ten upstreams are.
const defaultChoices = 8

// Random is a source of uniform draws.
type Source interface {
	// Uint64 returns 64 uniform bits.
	Uint64() uint64
}

// Choose returns the index of the upstream for a request, or -1 when none
// admits it. It allocates nothing.
func Choose(v View, q *Query, random Source) int {
	n := v.Len()
	if n == 0 {
		return -1
	}
	switch q.Policy {
	case Random:
		return scan(v, q, draw(random, n), first)
	case RoundRobin:
		return scan(v, q, int(q.Turn%uint64(n)), first)
	case LeastInFlight:
		return scan(v, q, draw(random, n), fewest)
	}
	best, cost := sample(v, q, random)
	if best < 0 {
		return scan(v, q, draw(random, n), cheapest)
	}
	if q.Affinity != 0 {
		return preferred(v, q, best, cost)
	}
	return best
}

func draw(random Source, n int) int {
	high, _ := bits.Mul64(random.Uint64(), uint64(n))
	return int(high)
}

// sample returns the cheapest of a few distinct random candidates.
func sample(v View, q *Query, random Source) (int, time.Duration) {
	n := v.Len()
	choices := q.Choices
	if choices == 0 {
		choices = defaultChoices
	}
	choices = min(choices, n)
	// Steps of a random stride visit distinct candidates.
	i := draw(random, n)
	best, bestCost := -1, time.Duration(0)
	for k := range choices {
		if k > 0 {
			i = (i + 1 + draw(random, max(n/choices, 1))) % n
		}
		cost, ok := weigh(v, q, i)
		if ok && (best < 0 || cost < bestCost) {
			best, bestCost = i, cost
		}
	}
	return best, bestCost
}

// weigh returns the cost of candidate i and whether it admits the request.
func weigh(v View, q *Query, i int) (time.Duration, bool) {
	c := v.Candidate(i)
	if !Admits(&c, q) {
		return 0, false
	}
	return c.Cost(q.Prior), true
}

// Admits reports whether an upstream has room for the request.
func Admits(c *Candidate, q *Query) bool {
	if c.Closed || q.Avoid != 0 && c.Key == q.Avoid {
		return false
	}
	if q.Class == contract.Batch {
		return BatchRoom(c, q.Batch) > 0
	}
	if c.Held || c.OnlineTotal() >= c.Limit {
		return false
	}
	return !q.Long || q.Policy != Adaptive || c.Long < LongLimit(c.Limit, q.ShortReserve)
}

// affinityCost is how much more than the best candidate the upstream that may
// hold the prefix may cost.
const affinityCost = 1.25

// preferred returns the upstream that the prefix belongs to, unless it is
// loaded more than the best of the sampled ones allows.
func preferred(v View, q *Query, best int, cost time.Duration) int {
	top, topRank := -1, uint64(0)
	for i := range v.Len() {
		if rank := mix(v.Key(i) ^ q.Affinity); top < 0 || rank > topRank {
			top, topRank = i, rank
		}
	}
	if top == best {
		return best
	}
	topCost, ok := weigh(v, q, top)
	if ok && float64(topCost) <= affinityCost*float64(cost) {
		return top
	}
	return best
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// order is how a scan compares candidates.
type order int

const (
	first order = iota
	fewest
	cheapest
)

// value is lower for better candidates.
func (o order) value(c *Candidate, q *Query) int64 {
	switch o {
	case fewest:
		return int64(c.Online + c.Batch)
	case cheapest:
		return int64(c.Cost(q.Prior))
	}
	return 0
}

// scan returns the best candidate that admits the request; ties go to the
// first from start on.
func scan(v View, q *Query, start int, by order) int {
	n := v.Len()
	best, bestValue := -1, int64(0)
	for k := range n {
		i := (start + k) % n
		c := v.Candidate(i)
		if !Admits(&c, q) {
			continue
		}
		if value := by.value(&c, q); best < 0 || value < bestValue {
			best, bestValue = i, value
		}
	}
	return best
}
