package route

import (
	"iter"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the position of an instance among the others for a key, by
// rendezvous hashing. Instances with the same membership agree on the order, and
// the order differs between keys. The result is at most maxRank. self is ignored
// when others contains it.
func Rank(key, self string, others iter.Seq[string], maxRank int) int {
	rank, selfScore := 0, rendezvousScore(key, self)
	for other := range others {
		if other != self && rendezvousScore(key, other) > selfScore {
			rank++
		}
	}
	return min(rank, maxRank)
}

// rendezvousScore returns the score by which instances are ordered for a key,
// highest first.
func rendezvousScore(key, instance string) uint64 {
	return xxhash.Sum64String(key + "\x00" + instance)
}
