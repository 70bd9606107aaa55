package memory_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

func TestInstanceLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Faults().Set(memory.FaultSettings{InstanceLag: 30 * time.Second})
		list := func() string {
			got, err := s.Instances(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			return got[0].ID
		}
		s.SetInstances([]storage.ListedInstance{{ID: "old"}})
		time.Sleep(time.Minute)
		s.SetInstances([]storage.ListedInstance{{ID: "new"}})
		if got := list(); got != "old" {
			t.Errorf("before the lag has passed: got list %q, want the old one", got)
		}
		time.Sleep(30 * time.Second)
		if got := list(); got != "new" {
			t.Errorf("after the lag: got list %q, want the new one", got)
		}
	})
}

func TestThrottledWritesHaveNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Faults().Set(memory.FaultSettings{WritesPerSecond: 5})
		counts := map[code.Number]int{}
		for range 20 {
			_, err := s.Apply(t.Context(), storage.Transaction{Writes: []storage.Write{{Key: "k"}}})
			counts[code.Of(err)]++
		}
		if d := cmp.Diff(map[code.Number]int{0: 5, code.StoreThrottled: 15}, counts); d != "" {
			t.Errorf("numbers of results differ (-want +got):\n%s", d)
		}
		row, err := s.Get(t.Context(), "k")
		if err != nil || row.Version != 5 {
			t.Errorf("after 5 writes: got version %d, want 5; error %v", row.Version, err)
		}
	})
}

func TestHeldWriteTakesEffectOnRelease(t *testing.T) {
	s, ctx := memory.New(), context.Background()
	s.Faults().HoldWrites(1)
	insert := storage.Transaction{Conditions: []storage.Condition{{Key: "k"}}, Writes: []storage.Write{{Key: "k"}}}
	if _, err := s.Apply(ctx, insert); code.Of(err) != code.StoreUnknown {
		t.Fatalf("held write: got %v, want StoreUnknown", err)
	}
	if row, _ := s.Get(ctx, "k"); row.Exists() {
		t.Error("the write took effect before the release")
	}
	s.ReleaseHeld()
	if row, _ := s.Get(ctx, "k"); !row.Exists() {
		t.Error("the write had no effect after the release")
	}
}

func TestLossesAreDeterministic(t *testing.T) {
	draw := func() (lost []int) {
		s := memory.New()
		s.Faults().Set(memory.FaultSettings{LoseShare: 0.3, Seed: 7})
		for i := range 50 {
			_, err := s.Apply(context.Background(), storage.Transaction{})
			if code.Of(err) == code.StoreUnknown {
				lost = append(lost, i)
			}
		}
		return lost
	}
	first := draw()
	if len(first) == 0 || !cmp.Equal(first, draw()) {
		t.Errorf("lost responses %v, want some, and the same ones with the same seed", first)
	}
}
