package instance

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func testMember(i int) Member {
	return Member{Identity: Identity{ID: fmt.Sprintf("m%03d", i)}, State: Serving}
}

// TestOwnerMovesOnlyKeysOfChangedMembers drains one member and expects every
// key of the other members to keep its owner.
func TestOwnerMovesOnlyKeysOfChangedMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "members")
		drained := rapid.IntRange(1, n-1).Draw(t, "gone")
		var before, after []Member
		for i := 1; i < n; i++ {
			before = append(before, testMember(i))
			m := testMember(i)
			if i == drained {
				m.State = Draining
			}
			after = append(after, m)
		}
		old, now := NewView(testMember(0), before...), NewView(testMember(0), after...)
		key := rapid.String().Draw(t, "key")
		was, is := old.Owner(key), now.Owner(key)
		if was.ID != testMember(drained).ID && was.ID != is.ID {
			t.Fatalf("key %q moved from %s to %s when %s began to drain", key, was.ID, is.ID, testMember(drained).ID)
		}
		if is.State != Serving {
			t.Fatalf("owner %s is %s", is.ID, is.State)
		}
	})
}

func TestOwnershipIsEven(t *testing.T) {
	const members, keys = 10, 10_000
	var others []Member
	for i := 1; i < members; i++ {
		others = append(others, testMember(i))
	}
	v := NewView(testMember(0), others...)
	counts := map[string]int{}
	for i := range keys {
		counts[v.Owner(fmt.Sprintf("key/%d", i)).ID]++
	}
	for id, n := range counts {
		if n < keys/members*8/10 || n > keys/members*12/10 {
			t.Errorf("%s owns %d of %d keys, which is off an even share by more than 20 %%", id, n, keys)
		}
	}
	if owner := NewView(Member{State: Starting}).Owner("x"); owner.ID != "" {
		t.Errorf("%s owns a key although no instance is serving", owner.ID)
	}
}
