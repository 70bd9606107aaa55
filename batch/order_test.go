package batch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/storage/memory"
)

func TestOrderPutsTheLeastLaxityFirst(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	jobs := []Candidate{
		{ID: "small and soon", Remaining: 10, Deadline: now.Add(time.Hour)},
		{ID: "large and later", Remaining: 100_000, Deadline: now.Add(2 * time.Hour)},
		{ID: "late", Remaining: 1, Deadline: now.Add(-time.Minute)},
		{ID: "nearly done", Remaining: 0, Deadline: now.Add(30 * time.Minute)},
		{ID: "equal", Remaining: 10, Deadline: now.Add(time.Hour)},
	}
	Order(jobs, now, 10)
	var got []string
	for _, j := range jobs {
		got = append(got, j.ID)
	}
	// 100,000 items at 10 per second take 2.8 h, so the laxity of that job is -47
	// min.
	want := []string{"large and later", "late", "nearly done", "equal", "small and soon"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestFanoutGrowsWithUrgency(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tests := []struct {
		name      string
		remaining int
		segments  int
		left      time.Duration
		want      int
	}{
		{"lax", 1000, 2, 24 * time.Hour, 1},
		{"needs ten", 36_000, 72, time.Hour, 11},
		{"one per segment at most", 36_000, 72, time.Minute, 72},
		{"late", 500, 3, -time.Second, 3},
	}
	for _, tt := range tests {
		c := Candidate{Remaining: tt.remaining, Segments: tt.segments, Deadline: now.Add(tt.left)}
		if got := Fanout(c, now, 2); got != tt.want {
			t.Errorf("%s: %d instances, want %d", tt.name, got, tt.want)
		}
	}
}

func TestPreferredPicksTheSameInstancesEverywhere(t *testing.T) {
	members := make([]string, 550)
	for i := range members {
		members[i] = fmt.Sprintf("instance-%d", i)
	}
	load := map[string]int{}
	const jobs, fanout = 200, 11
	for j := range jobs {
		picked := 0
		for _, m := range members {
			if Preferred(m, members, fmt.Sprint(j), fanout) {
				picked++
				load[m]++
			}
		}
		if picked != fanout {
			t.Fatalf("job %d has %d instances, want %d", j, picked, fanout)
		}
	}
	for m, n := range load {
		if n > 4*jobs*fanout/len(members) {
			t.Errorf("%s is preferred by %d jobs, the mean is %d", m, n, jobs*fanout/len(members))
		}
	}
}

func TestHintOfACancellationStopsItemsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		executor := newExecutor(blocked)
		r := startRunner(t, RunnerOptions{Store: store, Executor: executor})
		defer r.stop()
		service, err := NewService(ServiceOptions{Store: store, Document: testDocument, Notify: r.Notify})
		if err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		job := submit(t, service, "k", chatLines(5))
		time.Sleep(time.Second)
		if n := executor.started(); n != 5 {
			t.Fatalf("%d items run a second after the hint of the job, want 5", n)
		}
		if _, err := service.Cancel(context.Background(), account, job.ID); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if n := len(r.State().Leases); n != 0 {
			t.Errorf("%d leases after the hint of the cancellation", n)
		}
	})
}
