package instance

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/code"
)

func TestLifecycleNeverGoesBack(t *testing.T) {
	l := NewLifecycle(nil)
	var got []State
	l.OnChange(func(_, to State) { got = append(got, to) })
	for _, step := range []func() error{l.Serve, l.StartDrain, l.StartDrain, l.Stop} {
		if err := step(); err != nil {
			t.Fatal(err)
		}
	}
	for _, step := range []func() error{l.Serve, l.StartDrain} {
		if err := step(); code.Of(err) != code.Draining {
			t.Errorf("a transition of a stopped instance: got %v, want Draining", err)
		}
	}
	if diff := cmp.Diff([]State{Serving, Draining, Stopped}, got); diff != "" {
		t.Error(diff)
	}
}

// TestDrainTakesLateCallersAndFinishesThem has a caller that uses an endpoint
// answer until its last second. A stop that rejects requests as soon as it
// drains fails the first check.
func TestDrainTakesLateCallersAndFinishesThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ttl, work = 30 * time.Second, 90 * time.Second
		l := NewLifecycle(nil)
		if err := l.Serve(); err != nil {
			t.Fatal(err)
		}
		var inFlight atomic.Int64
		done := make(chan DrainResult)
		go func() {
			result, err := l.Drain(t.Context(), Drain{AnswerTTL: ttl, InFlight: func() int { return int(inFlight.Load()) }})
			if err != nil {
				t.Error(err)
			}
			done <- result
		}()
		time.Sleep(ttl)
		if l.State() != Draining || !l.Accepting() {
			t.Fatalf("a late caller is rejected in state %s", l.State())
		}
		inFlight.Add(1)
		time.Sleep(DefaultDrainMargin + time.Second)
		if l.Accepting() || l.State() != Draining {
			t.Errorf("accepting %v in state %s after the margin", l.Accepting(), l.State())
		}
		time.Sleep(work)
		if l.State() != Draining {
			t.Errorf("state %s with a request in flight, want draining", l.State())
		}
		inFlight.Add(-1)
		if result := <-done; result.CutOff != 0 || l.State() != Stopped {
			t.Errorf("got %+v in state %s, want no cut-off and stopped", result, l.State())
		}
	})
}

func TestDrainIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLifecycle(nil)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		result, err := l.Drain(ctx, Drain{AnswerTTL: time.Hour, Bound: time.Minute, InFlight: func() int { return 2 }})
		want := DrainResult{FinishDuration: time.Minute, CutOff: 2}
		if diff := cmp.Diff(want, result); diff != "" || err != nil || l.State() != Stopped {
			t.Errorf("%v %s %s", err, l.State(), diff)
		}
	})
}
