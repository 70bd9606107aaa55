package route

import (
	"iter"

	"github.com/cespare/xxhash/v2"
)

// Rank is the place of an instance among others for a matter, by rendezvous hashing:
// all who know the same instances agree on the order, and it differs by matter. The
// result is most at the highest; self among the others does not count.
func Rank(matter, self string, others iter.Seq[string], most int) int {
	rank, own := 0, rendezvous(matter, self)
	for other := range others {
		if other != self && rendezvous(matter, other) > own {
			rank++
		}
	}
	return min(rank, most)
}

func rendezvous(matter, instance string) uint64 {
	return xxhash.Sum64String(matter + "\x00" + instance)
}
