package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Subset returns at most size of the identifiers, sorted, by rendezvous
// hashing: an upstream that comes or goes changes at most one member.
func Subset(ids []string, instanceID string, size int) []string {
	if len(ids) <= size {
		return slices.Sorted(slices.Values(ids))
	}
	type ranked struct {
		rank uint64
		id   string
	}
	list := make([]ranked, len(ids))
	for i, id := range ids {
		list[i] = ranked{mix(xxhash.Sum64String(instanceID) ^ xxhash.Sum64String(id)), id}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.id, b.id))
	})
	chosen := make([]string, size)
	for i := range chosen {
		chosen[i] = list[i].id
	}
	slices.Sort(chosen)
	return chosen
}
