package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Subset returns at most size of the identifiers, sorted. It selects them by
// rendezvous hashing with instanceID: adding or removing an identifier changes at
// most one member.
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
		list[i] = ranked{Mix64(xxhash.Sum64String(instanceID) ^ xxhash.Sum64String(id)), id}
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
