package route

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestRanksArePermutation checks that, for every key, instances with the same
// membership have distinct ranks, apart from those that exceed maxRank.
func TestRanksArePermutation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, maxRank := rapid.IntRange(1, 20).Draw(t, "instances"), rapid.IntRange(1, 20).Draw(t, "most")
		key := rapid.String().Draw(t, "matter")
		var names []string
		for i := range n {
			names = append(names, fmt.Sprint("i", i))
		}
		var got, want []int
		for i, self := range names {
			got = append(got, Rank(key, self, slices.Values(names), maxRank))
			want = append(want, min(i, maxRank))
		}
		slices.Sort(got)
		if !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}
