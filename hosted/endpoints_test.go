package hosted

import (
	"fmt"
	"slices"
	"testing"

	"github.com/daisylb/daisylb/roster"
)

// newMembers returns n members that accept callers.
func newMembers(n int) []roster.Member {
	var members []roster.Member
	for i := range n {
		members = append(members, roster.Member{Name: fmt.Sprint("m", i), CallerAddress: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Ready: true})
	}
	return members
}

func TestCallersAreSpreadOverAllInstances(t *testing.T) {
	for _, n := range []int{9, 64, 81, 300, 550} {
		members := newMembers(n)
		answers := map[string]int{}
		for _, m := range members {
			answer := callerAddresses(members, m.Name)
			if len(answer) != min(n, maxEndpoints) {
				t.Fatalf("fleet of %d instances: got %d addresses", n, len(answer))
			}
			for _, a := range answer {
				answers[a]++
			}
		}
		least, most := n, 0
		for _, m := range members {
			least, most = min(least, answers[m.CallerAddress]), max(most, answers[m.CallerAddress])
		}
		if average := min(n, maxEndpoints); least < average/2 || most > 2*average {
			t.Errorf("fleet of %d instances: each is in %d to %d answers, %d on average", n, least, most, average)
		}
	}
}

func TestRemovedMemberChangesOneAddress(t *testing.T) {
	members := newMembers(300)
	before := callerAddresses(members, "m7")
	members[31].Leaving = true
	after := callerAddresses(members, "m7")
	changed := 0
	for _, a := range after {
		if !slices.Contains(before, a) {
			changed++
		}
	}
	if changed > 1 || slices.Contains(after, members[31].CallerAddress) {
		t.Errorf("%d addresses are new, want at most 1, and none of the leaving instance", changed)
	}
}
