package load

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// stalledServer answers immediately, except from the time from to the time
// until, when requests wait until the stall is over.
type stalledServer struct{ from, until time.Time }

func (s *stalledServer) stall(ctx context.Context) {
	if now := time.Now(); now.After(s.from) && now.Before(s.until) {
		sleepUntil(ctx, s.until)
	}
}

func (s *stalledServer) send(ctx context.Context, _ *arrival, due time.Time) outcome {
	s.stall(ctx)
	return outcome{ending: Ending{Kind: Right}, firstToken: max(time.Since(due), 1), total: time.Since(due)}
}

func uniformMix(rate float64) *OnlineMix {
	return &OnlineMix{Name: "m", Rate: rate, Uniform: true, Stream: true, Callers: 1, PromptBytes: Length{Median: 1}, AnswerTokens: Length{Median: 1}}
}

// drive runs a driver over one mix for ten seconds.
func drive(t *testing.T, m *OnlineMix, s sender, maxOpen int64, drain time.Duration) (*recorder, *driver) {
	t.Helper()
	r := newRecorder(m)
	d := &driver{sender: s, maxOpen: maxOpen, drain: drain, record: r.add}
	d.run(t.Context(), time.Now(), 10*time.Second, m.schedule(1, 1, 0, 10*time.Second))
	return r, d
}

// TestStallRaisesTailLatency guards against coordinated omission. A server that
// stalls for two of ten seconds is slow for a fifth of the requests that were
// due. A closed loop that measures from the time of sending records only one
// slow request.
func TestStallRaisesTailLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stalled := &stalledServer{time.Now().Add(2 * time.Second), time.Now().Add(4 * time.Second)}
		closed := closedLoop(t, stalled)
		if slow := closed.firstToken.TotalCount() - countBelow(closed, time.Second); slow != 1 {
			t.Errorf("the closed loop recorded %d slow requests, want 1", slow)
		}
		stalled = &stalledServer{time.Now().Add(2 * time.Second), time.Now().Add(4 * time.Second)}
		r, _ := drive(t, uniformMix(100), stalled, 1000, time.Second)
		if r.sent != 999 {
			t.Errorf("%d requests were sent, want 999", r.sent)
		}
		if slow := r.firstToken.TotalCount() - countBelow(r, time.Second); slow < 98 || slow > 100 {
			t.Errorf("%d requests took longer than 1 s, want 98 to 100: those due in the first second of the stall", slow)
		}
		if p95 := r.value(FirstTokenP95, 10); p95 < 1400 {
			t.Errorf("p95 is %v ms, want at least 1400 ms", p95)
		}
	})
}

// closedLoop sends each request only after the previous one was answered.
func closedLoop(t *testing.T, s *stalledServer) *recorder {
	r := newRecorder(uniformMix(100))
	for range 900 {
		time.Sleep(10 * time.Millisecond)
		r.add(&arrival{}, s.send(t.Context(), nil, time.Now()))
	}
	return r
}

func countBelow(r *recorder, d time.Duration) int64 {
	var n int64
	for _, bucket := range r.firstToken.Distribution() {
		if bucket.To <= int64(d) {
			n += bucket.Count
		}
	}
	return n
}

// hungServer never answers. It records the largest number of concurrent
// requests.
type hungServer struct {
	mu             sync.Mutex
	open, peakOpen int
}

func (h *hungServer) send(ctx context.Context, _ *arrival, due time.Time) outcome {
	h.mu.Lock()
	h.open++
	h.peakOpen = max(h.peakOpen, h.open)
	h.mu.Unlock()
	<-ctx.Done()
	return outcome{ending: Ending{Kind: NoConnection}, total: time.Since(due)}
}

func TestArrivalsDoNotWaitForAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		h := &hungServer{}
		r, _ := drive(t, uniformMix(100), h, 800, 3*time.Second)
		if h.peakOpen != 800 {
			t.Errorf("%d requests were open at once, want 800", h.peakOpen)
		}
		want := map[Ending]int{{Kind: Unanswered}: 800, {Kind: NotSent}: 199}
		if diff := cmp.Diff(want, r.endings); diff != "" {
			t.Error(diff)
		}
		if r.firstToken.TotalCount() != 800 || time.Duration(r.firstToken.Min()) < 4*time.Second {
			t.Errorf("%d unanswered requests have a first-token latency, the shortest %v, want 800 of at least 4 s", r.firstToken.TotalCount(), time.Duration(r.firstToken.Min()))
		}
		if took := time.Since(startedAt); took != 13*time.Second {
			t.Errorf("the run took %v, want 13 s: the window and the drain", took)
		}
	})
}

// actionRecorder is an actionExecutor that records each call with its time.
type actionRecorder struct {
	startedAt time.Time
	mu        sync.Mutex
	executed  []executedAction
}

type executedAction struct {
	At    time.Duration
	Name  string
	Clear bool
}

func (c *actionRecorder) execute(_ context.Context, a *Action, clear bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executed = append(c.executed, executedAction{time.Since(c.startedAt), a.Name, clear})
	return nil
}

func TestActionsRunOnSchedule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &actionRecorder{startedAt: time.Now()}
		actions := []*Action{
			{Name: "slow", At: -time.Second},
			{Name: "down", At: 3 * time.Second, Until: 5 * time.Second},
		}
		if err := runActions(t.Context(), c, actions, c.startedAt.Add(2*time.Second), 10*time.Second); err != nil {
			t.Fatal(err)
		}
		want := []executedAction{
			{time.Second, "slow", false},
			{5 * time.Second, "down", false},
			{7 * time.Second, "down", true},
			{12 * time.Second, "slow", true},
		}
		if diff := cmp.Diff(want, c.executed); diff != "" {
			t.Error(diff)
		}
	})
}

func TestCancelledRunUndoesItsActions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		c := &actionRecorder{startedAt: time.Now()}
		actions := []*Action{{Name: "down", At: time.Second}, {Name: "never", At: 9 * time.Second}}
		if err := runActions(ctx, c, actions, c.startedAt, 10*time.Second); err != nil {
			t.Fatal(err)
		}
		want := []executedAction{{time.Second, "down", false}, {4 * time.Second, "down", true}}
		if diff := cmp.Diff(want, c.executed); diff != "" {
			t.Error(diff)
		}
	})
}
