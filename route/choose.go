package route

import (
	"math/bits"
	"time"

	"github.com/daisylb/daisylb/contract"
)

// View is the set of upstreams from which Choose selects.
type View interface {
	// Len returns the number of upstreams.
	Len() int
	// Key returns the hash of the identifier of upstream i.
	Key(i int) uint64
	// Candidate returns the state of upstream i.
	Candidate(i int) Candidate
}

// Policy is a load-balancing algorithm.
type Policy int

const (
	// Adaptive compares the costs of a few random candidates and reserves slots for
	// short work. The other policies do neither.
	Adaptive Policy = iota
	// Random selects an upstream at random.
	Random
	// RoundRobin selects the upstreams in rotation.
	RoundRobin
	// LeastInFlight selects the upstream with the fewest requests of this instance.
	LeastInFlight
)

// Query describes the request to place.
type Query struct {
	Class contract.Class
	Long  bool
	// ShortReserve is the number of slots per upstream that long work leaves free
	// for short work.
	ShortReserve int
	// Affinity is a hash of the prompt prefix; 0 means none.
	Affinity uint64
	// Exclude is the key of an upstream that has just failed the request; 0 means
	// none.
	Exclude uint64
	// Prior is the time to the first token of an upstream without observations.
	Prior time.Duration
	// Batch limits the capacity that batch work may use.
	Batch BatchLimits
	// WithinKnee excludes upstreams that have as many requests as their knee.
	WithinKnee bool
	// Choices is the number of random candidates to compare; 0 means
	// defaultChoices.
	Choices int
	Policy  Policy
	// Position is the position of RoundRobin in its rotation.
	Position uint64
}

// defaultChoices is the number of candidates to compare. With two, both are slow
// for one request in eleven when three of ten upstreams are slow.
const defaultChoices = 8

// Source is a source of uniformly distributed random numbers.
type Source interface {
	// Uint64 returns 64 uniformly distributed bits.
	Uint64() uint64
}

// Choose returns the index of the upstream for a request, or -1 when none admits
// it. It does not allocate.
func Choose(v View, q *Query, random Source) int {
	n := v.Len()
	if n == 0 {
		return -1
	}
	switch q.Policy {
	case Random:
		return scan(v, q, randomIndex(random, n), firstFound)
	case RoundRobin:
		return scan(v, q, int(q.Position%uint64(n)), firstFound)
	case LeastInFlight:
		return scan(v, q, randomIndex(random, n), fewestInFlight)
	}
	best, cost := sample(v, q, random)
	if best < 0 {
		return scan(v, q, randomIndex(random, n), lowestCost)
	}
	if q.Affinity != 0 {
		return preferAffinity(v, q, best, cost)
	}
	return best
}

// randomIndex returns a uniformly distributed number below n.
func randomIndex(random Source, n int) int {
	high, _ := bits.Mul64(random.Uint64(), uint64(n))
	return int(high)
}

// sample returns the candidate with the lowest cost among a few distinct random
// ones, and its cost. The index is -1 when none of them admits the request.
func sample(v View, q *Query, random Source) (int, time.Duration) {
	n := v.Len()
	choices := q.Choices
	if choices == 0 {
		choices = defaultChoices
	}
	choices = min(choices, n)
	// The random steps add up to less than n, so the candidates are distinct.
	i := randomIndex(random, n)
	best, bestCost := -1, time.Duration(0)
	for k := range choices {
		if k > 0 {
			i = (i + 1 + randomIndex(random, max(n/choices, 1))) % n
		}
		cost, ok := evaluate(v, q, i)
		if ok && (best < 0 || cost < bestCost) {
			best, bestCost = i, cost
		}
	}
	return best, bestCost
}

// evaluate returns the cost of candidate i and whether it admits the request.
func evaluate(v View, q *Query, i int) (time.Duration, bool) {
	c := v.Candidate(i)
	if !Admits(&c, q) {
		return 0, false
	}
	return c.Cost(q.Prior), true
}

// Admits reports whether an upstream has a free slot that the request may use.
func Admits(c *Candidate, q *Query) bool {
	if c.Closed || c.AwaitsAnswers() || q.Exclude != 0 && c.Key == q.Exclude {
		return false
	}
	if q.Class == contract.Batch {
		return BatchCapacity(c, q.Batch) > 0
	}
	if c.Held || c.OnlineTotal() >= c.Limit {
		return false
	}
	if q.WithinKnee && c.Knee > 0 && c.OnlineTotal()+c.BatchTotal() >= c.Knee {
		return false
	}
	return !q.Long || q.Policy != Adaptive || c.Long < LongLimit(c.Limit, q.ShortReserve)
}

// maxAffinityCostRatio is the highest cost of the upstream with prefix affinity,
// relative to the best candidate, at which it is still chosen.
const maxAffinityCostRatio = 1.25

// preferAffinity returns the upstream to which the prompt prefix hashes, unless it
// does not admit the request or costs too much compared with the best sampled
// candidate.
func preferAffinity(v View, q *Query, best int, cost time.Duration) int {
	preferred, preferredRank := -1, uint64(0)
	for i := range v.Len() {
		if rank := Mix64(v.Key(i) ^ q.Affinity); preferred < 0 || rank > preferredRank {
			preferred, preferredRank = i, rank
		}
	}
	if preferred == best {
		return best
	}
	preferredCost, ok := evaluate(v, q, preferred)
	if ok && float64(preferredCost) <= maxAffinityCostRatio*float64(cost) {
		return preferred
	}
	return best
}

// Mix64 mixes the bits of a hash, for ranks by rendezvous hashing. It is the finalizer of
// SplitMix64.
func Mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// scanOrder is the order in which a scan prefers candidates.
type scanOrder int

const (
	firstFound scanOrder = iota
	fewestInFlight
	lowestCost
)

// score returns a number that is lower for preferred candidates.
func (o scanOrder) score(c *Candidate, q *Query) int64 {
	switch o {
	case fewestInFlight:
		return int64(c.Online + c.Batch)
	case lowestCost:
		return int64(c.Cost(q.Prior))
	}
	return 0
}

// scan returns the index of the preferred candidate that admits the request, or -1.
// Among equals it returns the first one, starting from start.
func scan(v View, q *Query, start int, by scanOrder) int {
	n := v.Len()
	best, bestValue := -1, int64(0)
	for k := range n {
		i := (start + k) % n
		c := v.Candidate(i)
		if !Admits(&c, q) {
			continue
		}
		if value := by.score(&c, q); best < 0 || value < bestValue {
			best, bestValue = i, value
		}
	}
	return best
}
