package job_test

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// newFleetBesideWrites returns a fleet in which a transaction of another writer takes effect
// between the effect of each transaction of the instances and its answer.
func newFleetBesideWrites(t *testing.T, n int, maxBytes int64, change func(*contract.Route)) *fleet {
	f := newFleet(t, 0, change)
	f.maxBytes = maxBytes
	for _, process := range []string{"p0", "p1", "p2"}[:n] {
		f.start(process).store.beforeAnswer = func(storage.RowTransaction) { f.writeElsewhere() }
	}
	time.Sleep(time.Second)
	return f
}

// writeElsewhere writes a row that no instance uses.
func (f *fleet) writeElsewhere() {
	row := storage.TableRow{RowKey: storage.RowKey{Table: "elsewhere", Key: "k"}}
	if _, err := f.store.ApplyRows(f.t.Context(), storage.RowTransaction{Puts: []storage.TableRow{row}}); err != nil {
		f.t.Error(err)
	}
}

// storedHead is what the tests read of the head of a job in the store.
type storedHead struct {
	Owner  string `json:"owner"`
	Ended  bool   `json:"ended"`
	Listed int    `json:"listed"`
	Total  int    `json:"total"`
}

// readStoredHead reads the head of a job from the store.
func readStoredHead(t *testing.T, store *memory.Rows, id string) (h storedHead, ok bool) {
	t.Helper()
	parts, err := store.RowParts(context.Background(), "jobs")
	if err != nil {
		t.Error(err)
	}
	for _, part := range parts {
		page, err := store.GetRows(context.Background(), "jobs", part, id, id+"\x00")
		if err != nil {
			t.Error(err)
		}
		for _, row := range page.Rows {
			if err := json.Unmarshal(row.Value, &h); err != nil {
				t.Error(err)
			}
			ok = true
		}
	}
	return h, ok
}

func (f *fleet) storedHead(id string) storedHead {
	f.t.Helper()
	h, _ := readStoredHead(f.t, f.store, id)
	return h
}

// TestLastInstanceBeginsJobsThatWaited guards against accepted jobs that are never begun, since
// each takeover is conditioned on a version that the head never had.
func TestLastInstanceBeginsJobsThatWaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetBesideWrites(t, 1, oneJob, nil)
		defer f.close()
		for _, id := range []string{"j1", "j2", "j3"} {
			if err := f.instances[0].Submit(t.Context(), f.submission(id, id+"-a")); err != nil {
				t.Fatal(err)
			}
		}
		for _, id := range []string{"j1", "j2", "j3"} {
			wantAll(t, f.read(f.instances[0], id), id+"-a")
		}
	})
}

// TestEndIsTakenAfterOwnWrite guards against ends that are refused, since this instance wrote the
// head last.
func TestEndIsTakenAfterOwnWrite(t *testing.T) {
	for name, write := range map[string]func(f *fleet, m *instance){
		"acceptance": func(f *fleet, m *instance) {
			if err := m.Submit(f.t.Context(), f.submission("j", "a")); err != nil {
				f.t.Fatal(err)
			}
		},
		"takeover": func(f *fleet, m *instance) {
			other := f.start("p1")
			if err := other.Submit(f.t.Context(), f.submission("j", "a")); err != nil {
				f.t.Fatal(err)
			}
			time.Sleep(time.Second)
			m.store.noChanges.Store(true)
			f.kill(1)
			for f.storedHead("j").Owner != "p0" {
				time.Sleep(10 * time.Millisecond)
			}
		},
		"listed results": func(f *fleet, m *instance) {
			if err := m.Submit(f.t.Context(), f.submission("j", "poison-a", "b")); err != nil {
				f.t.Fatal(err)
			}
			m.store.noChanges.Store(true)
			if _, results, err := m.Results(f.t.Context(), "j", 0, time.Second); err != nil || len(results) != 1 {
				f.t.Fatalf("%v, %v", results, err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetBesideWrites(t, 1, 0, nil)
				defer f.close()
				write(f, f.instances[0])
				if err := f.instances[0].End(t.Context(), "j"); err != nil || !f.storedHead("j").Ended {
					t.Errorf("end: %v", err)
				}
			})
		})
	}
}

// TestEndAtAnotherInstanceIsNotUndone guards against a job that goes on after its end was
// acknowledged: the owner took the version of the end for that of its own write.
func TestEndAtAnotherInstanceIsNotUndone(t *testing.T) {
	for name, laterWrite := range map[string]bool{"end is the newest version": false, "end is below the newest version": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2, nil)
				defer f.close()
				var once sync.Once
				f.instances[0].store.beforeAnswer = func(storage.RowTransaction) {
					once.Do(func() {
						if err := f.instances[1].End(t.Context(), "j"); err != nil {
							t.Error(err)
						}
						if laterWrite {
							f.writeElsewhere()
						}
					})
				}
				if err := f.instances[0].Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				if n := f.instances[0].Owned(); n != 0 {
					t.Error("the job runs 1 s after its end")
				}
				if _, err := f.instances[0].Body(t.Context(), "j", "a"); code.Of(err) != code.JobUnknown {
					t.Errorf("body of an ended job: %v", err)
				}
				time.Sleep(time.Minute)
				if !f.storedHead("j").Ended {
					t.Error("the end was undone")
				}
			})
		})
	}
}

// TestTakeoverByAnotherInstanceIsNotUndone guards against a former owner that writes over the
// head of the present one, whose version it took for that of its own write.
func TestTakeoverByAnotherInstanceIsNotUndone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		var once sync.Once
		f.instances[0].store.beforeAnswer = func(tx storage.RowTransaction) {
			if tx.Puts[0].Table != "job_results" {
				return
			}
			once.Do(func() {
				f.mu.Lock()
				delete(f.alive, "p0")
				f.mu.Unlock()
				for f.storedHead("j").Owner != "p1" {
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		f.instances[0].store.noChanges.Store(true)
		names := []string{"poison-a", "short-b", "short-c"}
		if err := f.instances[0].Submit(t.Context(), f.submission("j", names...)); err != nil {
			t.Fatal(err)
		}
		for _, wait := range []time.Duration{3 * time.Second, 20 * time.Second} {
			time.Sleep(wait)
			f.instances[0].store.noChanges.Store(false)
			if h := f.storedHead("j"); h.Owner != "p1" {
				t.Errorf("the owner is %s", h.Owner)
			}
		}
		first := f.read(f.instances[0], "j")
		wantAll(t, first[1:], names[1:]...)
	})
}

// TestJobIsLeftToOthersDuringAStop guards against a job that no instance runs: it was accepted
// while its instance stopped, which then failed to give it up.
func TestJobIsLeftToOthersDuringAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetBesideWrites(t, 2, 0, nil)
		defer f.close()
		var once sync.Once
		f.instances[0].store.beforeAnswer = func(storage.RowTransaction) {
			once.Do(func() { f.instances[0].Stop(t.Context()) })
			f.writeElsewhere()
		}
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "a")); err != nil {
			t.Fatal(err)
		}
		wantAll(t, f.read(f.instances[1], "j"), "a")
	})
}

// TestReservationOfARefusedJobIsRemoved guards against tokens that stay reserved for a job that
// was refused.
func TestReservationOfARefusedJobIsRemoved(t *testing.T) {
	for name, latency := range map[string]time.Duration{"reservations are read before it": 0, "after it": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetBesideWrites(t, 1, 0, func(r *contract.Route) { r.MaxWaitingTokens = 250 })
				defer f.close()
				f.instances[0].store.reservationReadLatency.Store(int64(latency))
				if err := f.instances[0].Submit(t.Context(), f.submission("j1", "a", "b")); err != nil {
					t.Fatal(err)
				}
				if err := f.instances[0].Submit(t.Context(), f.submission("j2", "c")); code.Of(err) != code.QuotaExceeded {
					t.Fatalf("got %v", err)
				}
				page, err := f.store.GetRows(t.Context(), "job_gates", "0", "", "")
				if err != nil {
					t.Fatal(err)
				}
				for _, row := range page.Rows {
					if strings.HasSuffix(row.Key, "/j2") {
						t.Error("the reservation of the refused job is left")
					}
				}
			})
		})
	}
}
