package claim

import (
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// TestNextInRankFollowsOwner removes the owner from a view: the next peer in rank
// must become the owner, and the order of the view must not matter.
func TestNextInRankFollowsOwner(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		ids := rapid.SliceOfNDistinct(rapid.IntRange(0, 999), 2, 40, rapid.ID).Draw(r, "ids")
		group := rapid.IntRange(0, maxGroups-1).Draw(r, "group")
		var live []Peer
		for _, id := range ids {
			live = append(live, Peer{ID: strconv.Itoa(id)})
		}
		ranked := rank(group, live)
		shuffled := rapid.Permutation(live).Draw(r, "shuffled")
		if again := rank(group, shuffled); ranked[0] != again[0] || ranked[1] != again[1] {
			r.Fatalf("%v in one order, %v in another", ranked, again)
		}
		var rest []Peer
		for _, p := range live {
			if p != ranked[0] {
				rest = append(rest, p)
			}
		}
		if next := ownerOf(group, rest); next != ranked[1] {
			r.Fatalf("%v is next in rank, %v follows", ranked[1], next)
		}
	})
}

// TestGroupsAreRangesOfRows checks that each row is in the range of its group.
func TestGroupsAreRangesOfRows(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		groups := rapid.IntRange(1, maxGroups).Draw(r, "groups")
		row := rowKey("a", "s", rapid.String().Draw(r, "key"))
		start, end := groupRange(groupOf(row, groups), groups)
		if row < start || row >= end {
			r.Fatalf("row %s is outside of its group's range %s to %s", row, start, end)
		}
	})
}
