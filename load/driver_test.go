package load

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// stalledServer answers at once, but not while it is stalled.
type stalledServer struct{ from, until time.Time }

func (s *stalledServer) serve(ctx context.Context) {
	if now := time.Now(); now.After(s.from) && now.Before(s.until) {
		sleepUntil(ctx, s.until)
	}
}

func (s *stalledServer) ask(ctx context.Context, _ *arrival, due time.Time) outcome {
	s.serve(ctx)
	return outcome{ending: Ending{Kind: Right}, first: max(time.Since(due), 1), whole: time.Since(due)}
}

func evenMix(rate float64) *OnlineMix {
	return &OnlineMix{Name: "m", Rate: rate, Uniform: true, Stream: true, Callers: 1, PromptBytes: Length{Median: 1}, AnswerTokens: Length{Median: 1}}
}

// drive runs a driver over one mix for ten seconds.
func drive(t *testing.T, m *OnlineMix, by asker, maxOpen int64, drain time.Duration) (*recorder, *driver) {
	t.Helper()
	r := newRecorder(m)
	d := &driver{asker: by, maxOpen: maxOpen, drain: drain, record: r.add}
	d.run(t.Context(), time.Now(), 10*time.Second, m.schedule(1, 1, 0, 10*time.Second))
	return r, d
}

// A server that stalls for two of ten seconds is slow for a fifth of the
// requests that were due. A closed loop that counts from the time of sending
// sees one slow request only.
func TestStallShowsInTheTail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stalled := &stalledServer{time.Now().Add(2 * time.Second), time.Now().Add(4 * time.Second)}
		naive := closedLoop(t, stalled)
		if slow := naive.first.TotalCount() - countBelow(naive, time.Second); slow != 1 {
			t.Errorf("the closed loop saw %d slow requests", slow)
		}
		stalled = &stalledServer{time.Now().Add(2 * time.Second), time.Now().Add(4 * time.Second)}
		r, _ := drive(t, evenMix(100), stalled, 1000, time.Second)
		if r.sent != 999 {
			t.Errorf("%d requests were sent", r.sent)
		}
		if slow := r.first.TotalCount() - countBelow(r, time.Second); slow < 98 || slow > 100 {
			t.Errorf("%d requests waited for over a second, want those of one second", slow)
		}
		if p95 := r.value(FirstTokenP95, 10); p95 < 1400 {
			t.Errorf("p95 is %v ms", p95)
		}
	})
}

// closedLoop sends the next request when the last one was answered.
func closedLoop(t *testing.T, s *stalledServer) *recorder {
	r := newRecorder(evenMix(100))
	for range 900 {
		time.Sleep(10 * time.Millisecond)
		r.add(&arrival{}, s.ask(t.Context(), nil, time.Now()))
	}
	return r
}

func countBelow(r *recorder, d time.Duration) int64 {
	var n int64
	for _, bar := range r.first.Distribution() {
		if bar.To <= int64(d) {
			n += bar.Count
		}
	}
	return n
}

// hungServer never answers; it knows how many requests it has had at once.
type hungServer struct {
	mu         sync.Mutex
	open, most int
}

func (h *hungServer) ask(ctx context.Context, _ *arrival, due time.Time) outcome {
	h.mu.Lock()
	h.open++
	h.most = max(h.most, h.open)
	h.mu.Unlock()
	<-ctx.Done()
	return outcome{ending: Ending{Kind: NoConnection}, whole: time.Since(due)}
}

func TestArrivalsDoNotWaitForAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		h := &hungServer{}
		r, _ := drive(t, evenMix(100), h, 800, 3*time.Second)
		if h.most != 800 {
			t.Errorf("%d requests were open at once", h.most)
		}
		want := map[Ending]int{{Kind: Unanswered}: 800, {Kind: NotSent}: 199}
		if diff := cmp.Diff(want, r.endings); diff != "" {
			t.Error(diff)
		}
		if r.first.TotalCount() != 800 || time.Duration(r.first.Min()) < 4*time.Second {
			t.Errorf("%d requests without an answer are in the tail, the shortest with %v", r.first.TotalCount(), time.Duration(r.first.Min()))
		}
		if took := time.Since(began); took != 13*time.Second {
			t.Errorf("the run took %v, want the window and the drain", took)
		}
	})
}

// clock is an actor that notes when it was called.
type clock struct {
	began time.Time
	mu    sync.Mutex
	log   []note
}

type note struct {
	At    time.Duration
	Name  string
	Clear bool
}

func (c *clock) act(_ context.Context, a *Action, clear bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log = append(c.log, note{time.Since(c.began), a.Name, clear})
	return nil
}

func TestActionsHappenAtTheirTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &clock{began: time.Now()}
		actions := []*Action{
			{Name: "slow", At: -time.Second},
			{Name: "down", At: 3 * time.Second, Until: 5 * time.Second},
		}
		if err := perform(t.Context(), c, actions, c.began.Add(2*time.Second), 10*time.Second); err != nil {
			t.Fatal(err)
		}
		want := []note{
			{time.Second, "slow", false},
			{5 * time.Second, "down", false},
			{7 * time.Second, "down", true},
			{12 * time.Second, "slow", true},
		}
		if diff := cmp.Diff(want, c.log); diff != "" {
			t.Error(diff)
		}
	})
}

func TestCancelledRunUndoesItsActions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		c := &clock{began: time.Now()}
		actions := []*Action{{Name: "down", At: time.Second}, {Name: "never", At: 9 * time.Second}}
		if err := perform(ctx, c, actions, c.began, 10*time.Second); err != nil {
			t.Fatal(err)
		}
		want := []note{{time.Second, "down", false}, {4 * time.Second, "down", true}}
		if diff := cmp.Diff(want, c.log); diff != "" {
			t.Error(diff)
		}
	})
}
