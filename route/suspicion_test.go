package route

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var suspicionStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return suspicionStart.Add(d) }

// TestLoneReportIsProbedByAnotherInstance guards against an upstream that one instance's
// fault keeps from all others for as long as that instance reports it.
func TestLoneReportIsProbedByAnotherInstance(t *testing.T) {
	d := Suspicion{}.Observe(at(0), []time.Time{at(0)}, time.Time{})
	if d.AdmitsProbe(at(time.Second), 0, false) {
		t.Error("a fresh report is not followed")
	}
	now := at(loneReportTime)
	d = d.Observe(now, []time.Time{at(0)}, time.Time{})
	if !d.AdmitsProbe(now, 0, false) || d.AdmitsProbe(now, 0, true) || d.AdmitsProbe(now, 1, false) {
		t.Error("want one probe, of the first instance in the order")
	}
	if d = d.Observe(now, []time.Time{at(0)}, at(loneReportTime)); d.Exists() {
		t.Errorf("%+v after an event, want no suspicion", d)
	}
}

// TestTwoReportsHoldUntilAnEvent guards against requests sent to an upstream of which two
// instances say that it is silent.
func TestTwoReportsHoldUntilAnEvent(t *testing.T) {
	reports := []time.Time{at(0), at(100 * time.Millisecond)}
	d := Suspicion{}
	for i := range 100 {
		now := at(time.Duration(i) * 100 * time.Millisecond)
		d = d.Observe(now, reports, at(-time.Second))
		if !d.Exists() || d.AdmitsProbe(now, 0, false) {
			t.Fatalf("%v: %+v admits a request", now.Sub(suspicionStart), d)
		}
	}
	if d = d.Observe(at(10*time.Second), reports, at(50*time.Millisecond)); d.Reports != 1 {
		t.Errorf("%d reports after an event between them, want 1", d.Reports)
	}
	if d = d.Observe(at(10*time.Second), nil, at(9*time.Second)); d.Exists() {
		t.Errorf("%+v after a later event, want no suspicion", d)
	}
}

// TestSuspicionWithoutReportsEnds guards against upstreams that stay left out, and against
// probes in quick succession at one that is still silent.
func TestSuspicionWithoutReportsEnds(t *testing.T) {
	d := Suspicion{}.Observe(at(0), []time.Time{at(0)}, time.Time{}).Observe(at(time.Second), nil, time.Time{})
	if !d.AdmitsProbe(at(time.Second), 0, false) {
		t.Errorf("%+v admits no probe after the last report", d)
	}
	again := d.Observe(at(2*time.Second), []time.Time{at(2 * time.Second)}, time.Time{}).Observe(at(2100*time.Millisecond), nil, time.Time{})
	if again.AdmitsProbe(at(2900*time.Millisecond), 0, false) || !again.AdmitsProbe(at(3*time.Second), 0, false) {
		t.Errorf("%+v: want a probe %v after a failed one", again, holdTime)
	}
	if d = d.Observe(at(probationTime+time.Millisecond), nil, time.Time{}); d.Exists() {
		t.Errorf("%+v, want no suspicion %v after the last report", d, probationTime)
	}
}

// TestFewUpstreamsAreSuspected guards against reports that take most upstreams out of use.
func TestFewUpstreamsAreSuspected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 80).Draw(t, "upstreams")
		suspicions := make([]Suspicion, n)
		most := 0
		for i := range suspicions {
			suspicions[i].Reports = rapid.IntRange(0, 5).Draw(t, "reports")
			if suspicions[i].Reports > 0 {
				suspicions[i].Since = at(time.Duration(i))
				most = max(most, suspicions[i].Reports)
			}
		}
		LimitSuspicions(suspicions, n)
		kept, strongest := 0, 0
		for _, d := range suspicions {
			if d.Exists() {
				kept++
				strongest = max(strongest, d.Reports)
			}
		}
		if kept > 0 && 3*kept > n {
			t.Fatalf("%d of %d upstreams are suspected, want at most a third", kept, n)
		}
		if kept > 0 && strongest != most {
			t.Fatalf("the strongest suspicion has %d reports, want %d", strongest, most)
		}
	})
}

// TestInstanceThatHearsLittleReportsNothing guards against the reports of an instance
// that is cut off.
func TestInstanceThatHearsLittleReportsNothing(t *testing.T) {
	for _, c := range []struct {
		named, heard, n int
		want            bool
	}{{1, 1, 28, true}, {1, 0, 28, false}, {3, 3, 28, true}, {3, 2, 28, false}, {8, 20, 28, false}, {1, 1, 2, false}} {
		if got := MayReport(c.named, c.heard, c.n); got != c.want {
			t.Errorf("MayReport(%d, %d, %d) = %v", c.named, c.heard, c.n, got)
		}
	}
}
