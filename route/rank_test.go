package route

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestRanksOfAMatterAreAPermutation: all who know the same instances have places of
// their own, up to the highest, and no instance keeps its place for every matter.
func TestRanksOfAMatterAreAPermutation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, most := rapid.IntRange(1, 20).Draw(t, "instances"), rapid.IntRange(1, 20).Draw(t, "most")
		matter := rapid.String().Draw(t, "matter")
		var names []string
		for i := range n {
			names = append(names, fmt.Sprint("i", i))
		}
		var got, want []int
		for i, self := range names {
			got = append(got, Rank(matter, self, slices.Values(names), most))
			want = append(want, min(i, most))
		}
		slices.Sort(got)
		if !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}
