package route

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func names(prefix string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s%d", prefix, i)
	}
	return list
}

func TestCellsCoverAllNamesOnceAndAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := names("n", rapid.IntRange(1, 120).Draw(t, "names"))
		cells := 1 << rapid.IntRange(0, 4).Draw(t, "cells")
		seen := map[string]int{}
		for cell := range cells {
			for _, name := range CellMembers(list, cell, cells) {
				seen[name]++
				if got := CellOf(list, name, cells); got != cell {
					t.Fatalf("%s is a member of cell %d, but CellOf returns %d", name, cell, got)
				}
			}
		}
		for _, name := range list {
			if seen[name] != 1 {
				t.Fatalf("%s is in %d cells, want 1", name, seen[name])
			}
		}
	})
}

func TestNeighbourCellsShareAnUpstream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := names("i", rapid.IntRange(2, 100).Draw(t, "instances"))
		upstreams := names("u", rapid.IntRange(2, 100).Draw(t, "upstreams"))
		cells := Cells(len(instances), len(upstreams))
		a, b := rapid.SampledFrom(instances).Draw(t, "a"), rapid.SampledFrom(instances).Draw(t, "b")
		cellA, cellB := CellOf(instances, a, cells), CellOf(instances, b, cells)
		usedA := CellUpstreams(upstreams, cellA, cells)
		shares := slices.ContainsFunc(CellUpstreams(upstreams, cellB, cells), func(u string) bool { return slices.Contains(usedA, u) })
		if notifies := slices.Contains(CellNeighbours(cellA, cells), cellB); notifies != shares {
			t.Fatalf("%s notifies %s: %v; they share an upstream: %v", a, b, notifies, shares)
		}
	})
}

func TestRemovedInstanceMovesFewOthers(t *testing.T) {
	list := names("i", 81)
	cells := Cells(81, 60)
	if cells < 4 {
		t.Fatalf("81 instances are in %d cells, want 4 or more", cells)
	}
	fewer := slices.Delete(slices.Clone(list), 40, 41)
	moved := 0
	for _, name := range fewer {
		if CellOf(list, name, cells) != CellOf(fewer, name, Cells(80, 60)) {
			moved++
		}
	}
	if moved > cells {
		t.Errorf("%d of 80 instances moved to another cell", moved)
	}
}

func TestRankedYieldFreesExactlyTheDeficit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		batch := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 8).Draw(t, "batch by instance")
		excess := rapid.IntRange(0, 20).Draw(t, "over")
		upstream := rapid.Uint64().Draw(t, "upstream")
		instances, total := make([]BatchInstance, len(batch)), 0
		for i, n := range batch {
			instances[i] = BatchInstance{Key: uint64(i)*7919 + 1, Batch: n}
			total += n
		}
		yielded := 0
		for i, self := range instances {
			others := slices.Delete(slices.Clone(instances), i, i+1)
			yielded += RankedYield(upstream, self, others, excess)
		}
		if yielded != min(excess, total) {
			t.Fatalf("%d of %d batch requests yielded, %d in excess", yielded, total, excess)
		}
	})
}

func TestOneInstanceHasNoTurnDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 10).Draw(t, "instances")
		upstream := rapid.Uint64().Draw(t, "upstream")
		first := 0
		for i := range n {
			var others []WaitingInstance
			for j := range n {
				if j != i {
					others = append(others, WaitingInstance{Key: uint64(j)*104729 + 3})
				}
			}
			if TurnDelay(upstream, WaitingInstance{Key: uint64(i)*104729 + 3}, others, 1, 0) == 0 {
				first++
			}
		}
		if first != 1 {
			t.Fatalf("%d of %d instances use the slot without delay, want 1", first, n)
		}
	})
}

// TestFreeSlotsAreSharedEvenlyWithoutDelay has instances that see the same free
// slots, but do not know yet which of them the others have taken since. Together they
// must take exactly the free slots without delay, and the numbers of slots that two
// instances take must differ by at most one.
func TestFreeSlotsAreSharedEvenlyWithoutDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "instances")
		free := rapid.IntRange(1, 30).Draw(t, "room")
		upstream := rapid.Uint64().Draw(t, "upstream")
		all := make([]WaitingInstance, n)
		for i := range all {
			all[i] = WaitingInstance{Key: uint64(i)*104729 + 3, Late: rapid.Bool().Draw(t, "late")}
		}
		total, least, most := 0, free, 0
		for i, self := range all {
			others := slices.Delete(slices.Clone(all), i, i+1)
			taken := 0
			for taken < free && TurnDelay(upstream, self, others, free-taken, taken) == 0 {
				taken++
			}
			total += taken
			least, most = min(least, taken), max(most, taken)
		}
		if total != free || most-least > 1 {
			t.Fatalf("%d of %d free slots taken without delay, %d to %d per instance", total, free, least, most)
		}
	})
}

// TestOnTimeWorkGoesFirstAcrossInstances checks that all instances have different
// delays, so that one takes a free slot at once, and that instances with work that can
// be on time have shorter ones than instances with late work only.
func TestOnTimeWorkGoesFirstAcrossInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		late := rapid.SliceOfN(rapid.Bool(), 1, maxTurns).Draw(t, "late")
		upstream := rapid.Uint64().Draw(t, "upstream")
		all := make([]WaitingInstance, len(late))
		for i := range late {
			all[i] = WaitingInstance{Key: uint64(i)*104729 + 3, Late: late[i]}
		}
		delays := map[time.Duration]bool{}
		for i, self := range all {
			others := slices.Delete(slices.Clone(all), i, i+1)
			delay := TurnDelay(upstream, self, others, 1, 0)
			if delays[delay] {
				t.Fatalf("two instances have the same delay of %v", delay)
			}
			delays[delay] = true
			for j, other := range all {
				if !self.Late && other.Late && TurnDelay(upstream, other, slices.Delete(slices.Clone(all), j, j+1), 1, 0) < delay {
					t.Fatal("late work goes before work that can be on time")
				}
			}
		}
	})
}

func TestBatchOrderIsStrictAndLateWorkComesLast(t *testing.T) {
	now := time.Unix(1000, 0)
	work := rapid.Custom(func(t *rapid.T) BatchWork {
		w := BatchWork{Remaining: time.Duration(rapid.IntRange(0, 20).Draw(t, "left s")) * time.Second}
		if rapid.Bool().Draw(t, "due") {
			w.Due = now.Add(time.Duration(rapid.IntRange(-20, 60).Draw(t, "due s")) * time.Second)
		}
		return w
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := work.Draw(t, "a"), work.Draw(t, "b"), work.Draw(t, "c")
		if a.Before(b, now) && b.Before(a, now) {
			t.Fatal("each of two requests comes before the other")
		}
		if a.Before(b, now) && b.Before(c, now) && !a.Before(c, now) {
			t.Fatal("the order is not transitive")
		}
		late := func(w BatchWork) bool { return !w.Due.IsZero() && now.Add(w.Remaining).After(w.Due) }
		if late(a) && b.laxity(now) >= 0 && (a.Before(b, now) || b.YieldsBefore(a, now)) {
			t.Fatal("late work goes before work that can be on time")
		}
	})
}
