package job_test

import (
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// partNames has the parts with rows of jobs.
var partNames = []string{"0", "1", "2", "3"}

// rowsOf returns the rows of a table by part.
func (f *fleet) rowsOf(table string) map[string][]storage.TableRow {
	f.t.Helper()
	rows := map[string][]storage.TableRow{}
	for _, part := range partNames {
		page, err := storage.ReadRows(f.t.Context(), f.store, table, part, "", "")
		if err != nil {
			f.t.Fatal(err)
		}
		if len(page.Rows) > 0 {
			rows[part] = page.Rows
		}
	}
	return rows
}

// waiting returns the tokens of all items that are not listed.
func (f *fleet) waiting() (tokens int64) {
	f.t.Helper()
	for _, rows := range f.rowsOf("jobs") {
		for _, r := range rows {
			var head struct{ Tokens int64 }
			if err := json.Unmarshal(r.Value, &head); err != nil {
				f.t.Fatal(err)
			}
			tokens += head.Tokens
		}
	}
	return tokens
}

func TestJobsAreSpreadOverPartsAndTheRowsOfOneAreTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, func(r *contract.Route) { r.MaxWaitingTokens = 1e6 })
		defer f.close()
		const jobs = 24
		for i := range jobs {
			id := strconv.Itoa(i)
			if err := f.instances[i%2].Submit(t.Context(), f.submission("job"+id, "a"+id, "b"+id)); err != nil {
				t.Fatal(err)
			}
		}
		for i := range jobs {
			id := strconv.Itoa(i)
			wantAll(t, f.read(f.instances[0], "job"+id), "a"+id, "b"+id)
		}
		partOfJob := map[string]string{}
		heads := f.rowsOf("jobs")
		for part, rows := range heads {
			for _, r := range rows {
				partOfJob[r.Key] = part
			}
		}
		if len(heads) != len(partNames) || len(partOfJob) != jobs {
			t.Errorf("%d jobs in %d parts", len(partOfJob), len(heads))
		}
		for _, table := range []string{"job_results", "job_progress"} {
			for part, rows := range f.rowsOf(table) {
				for _, r := range rows {
					if id, _, _ := splitKey(r.Key); partOfJob[id] != part {
						t.Errorf("row %s of %s is in part %s, its job in %s", r.Key, table, part, partOfJob[id])
					}
				}
			}
		}
	})
}

// splitKey splits the key of a row of results or progress.
func splitKey(key string) (id string, n, chunk int) {
	for i := range key {
		if key[i] == '/' {
			_, _ = fmt.Sscanf(key[i:], "/%d/%d", &n, &chunk)
			return key[:i], n, chunk
		}
	}
	return key, 0, 0
}

// TestTokensOfABrokenAcceptanceAreFree aborts an acceptance after the reservation and
// before the head. The tokens must stay reserved for that job until the reservation
// expires, and then be free again.
func TestTokensOfABrokenAcceptanceAreFree(t *testing.T) {
	for name, resent := range map[string]bool{"sent again": true, "not sent again": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2, func(r *contract.Route) { r.MaxWaitingTokens = 250 })
				defer f.close()
				f.instances[0].store.failBlobs.Store(true)
				err := f.instances[0].Submit(t.Context(), f.submission("broken", "a", "b"))
				if e := code.From(err); e == nil || e.Outcome != code.NotRun {
					t.Fatalf("while objects can't be stored: %v", err)
				}
				err = f.instances[1].Submit(t.Context(), f.submission("other", "c", "d"))
				if code.Of(err) != code.QuotaExceeded {
					t.Fatalf("while tokens are reserved for another job: %v", err)
				}
				if resent {
					if err := f.instances[1].Submit(t.Context(), f.submission("broken", "a", "b")); err != nil {
						t.Errorf("sent again: %v", err)
					}
					wantAll(t, f.read(f.instances[1], "broken"), "a", "b")
				} else {
					time.Sleep(31 * time.Second)
				}
				if err := f.instances[1].Submit(t.Context(), f.submission("other", "c", "d")); err != nil {
					t.Errorf("later: %v", err)
				}
			})
		})
	}
}

// TestEarlierReservationHasPriority lets one instance read reservations slowly while
// another accepts three jobs. The quota fits three jobs in all, and the slow one
// reserved first.
func TestEarlierReservationHasPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, func(r *contract.Route) { r.MaxWaitingTokens = 650 })
		defer f.close()
		f.instances[0].store.reservationReadLatency.Store(int64(50 * time.Millisecond))
		var wait sync.WaitGroup
		wait.Go(func() {
			if err := f.instances[0].Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
				t.Errorf("the first: %v", err)
			}
		})
		for i := range 3 {
			time.Sleep(time.Millisecond)
			id := strconv.Itoa(i)
			err := f.instances[1].Submit(t.Context(), f.submission("j"+id, "a"+id, "b"+id))
			if want := i == 2; want != (code.Of(err) == code.QuotaExceeded) {
				t.Errorf("job %d: %v", i, err)
			}
		}
		wait.Wait()
	})
}

// reservationRowKey returns the key of a job's reservation, or of the generation row
// of the route for job "".
func reservationRowKey(route, job string) storage.RowKey {
	return storage.RowKey{Table: "job_gates", Part: "0", Key: fmt.Sprintf("%016x/%s", xxhash.Sum64String(route), job)}
}

// TestDroppedReservationsCountAsJobs writes the heads of two jobs and removes their
// reservations between the two reads of an acceptance that has read the heads before.
// The jobs must still count.
func TestDroppedReservationsCountAsJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, func(r *contract.Route) { r.MaxWaitingTokens = 450 })
		defer f.close()
		route, others := f.route.ID(), []string{"x", "y"}
		key := func(job string) storage.RowKey {
			return reservationRowKey(route, job)
		}
		apply := func(tr storage.RowTransaction) {
			if _, err := f.store.ApplyRows(t.Context(), tr); err != nil {
				t.Error(err)
			}
		}
		var reads atomic.Int64
		f.instances[0].store.beforeCall = func(call string) {
			switch {
			case call == "reserve" && reads.Load() <= 1:
				time.Sleep(time.Millisecond) // The first reads are done.
				for _, job := range others {
					apply(storage.RowTransaction{Puts: []storage.TableRow{{RowKey: key(job), Value: []byte(`{"tokens":200}`)}}})
				}
			case call == "gate":
				if reads.Add(1) != 2 {
					return
				}
				for _, job := range others {
					head := fmt.Appendf(nil, `{"route":%q,"host":"h","total":2,"tokens":200,"owner":"p0"}`, route)
					apply(storage.RowTransaction{Puts: []storage.TableRow{{RowKey: storage.RowKey{Table: "jobs", Part: "1", Key: job}, Value: head}}})
					apply(storage.RowTransaction{Removes: []storage.RowKey{key(job)}, Puts: []storage.TableRow{{RowKey: key(""), Value: []byte("{}")}}})
				}
			}
		}
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "a", "b")); code.Of(err) != code.QuotaExceeded {
			t.Errorf("got %v", err)
		}
		if n := reads.Load(); n < 3 {
			t.Errorf("the reservations were read %d times, want at least 3", n)
		}
	})
}

// TestRefusedJobLeavesNoReservation: a job that does not fit must not hold tokens
// that another job needs.
func TestRefusedJobLeavesNoReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, func(r *contract.Route) { r.MaxWaitingTokens = 450 })
		defer f.close()
		if err := f.instances[0].Submit(t.Context(), f.submission("one", "a", "b")); err != nil {
			t.Fatal(err)
		}
		if err := f.instances[1].Submit(t.Context(), f.submission("large", "c", "d", "e")); code.Of(err) != code.QuotaExceeded {
			t.Fatalf("got %v", err)
		}
		if err := f.instances[0].Submit(t.Context(), f.submission("two", "f", "g")); err != nil {
			t.Error(err)
		}
	})
}

func TestReservationsOfJobsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, func(r *contract.Route) { r.MaxWaitingTokens = 1e6 })
		defer f.close()
		for i := range 150 {
			id := strconv.Itoa(i)
			if err := f.instances[i%2].Submit(t.Context(), f.submission("j"+id, "a"+id)); err != nil {
				t.Fatal(err)
			}
		}
		if n := len(f.rowsOf("job_gates")["0"]); n > 40 {
			t.Errorf("%d rows of reservations after 150 jobs", n)
		}
	})
}

// TestManyAbandonedReservationsDoNotBlockTheRoute leaves more reservations than one
// page of the store holds. New jobs must be rejected until the old reservations
// expire, and accepted then.
func TestManyAbandonedReservationsDoNotBlockTheRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, func(r *contract.Route) { r.MaxWaitingTokens = 1e6 })
		defer f.close()
		now := (time.Second).Milliseconds()
		for i := range 700 {
			row := storage.TableRow{RowKey: reservationRowKey(f.route.ID(), fmt.Sprint("broken", i)), Value: fmt.Appendf(nil, `{"tokens":100,"at_ms":%d}`, now)}
			if _, err := f.store.ApplyRows(t.Context(), storage.RowTransaction{Puts: []storage.TableRow{row}}); err != nil {
				t.Fatal(err)
			}
		}
		f.store.SetFaults(memory.RowFaults{PageRows: 500})
		err := f.instances[0].Submit(t.Context(), f.submission("j", "a"))
		if e := code.From(err); e == nil || e.Outcome != code.NotRun || e.RetryAfter == 0 {
			t.Errorf("with 700 fresh reservations: %v", err)
		}
		time.Sleep(time.Minute)
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "a")); err != nil {
			t.Errorf("with 700 expired reservations: %v", err)
		}
	})
}

// TestJobAcceptedBeforeTheFirstFeedResponseHasTheStoresClock submits to an instance
// that has just started, when the store has run for longer than items are kept.
// Were the store's clock not read first, the job would expire at once.
func TestJobAcceptedBeforeTheFirstFeedResponseHasTheStoresClock(t *testing.T) {
	for _, quota := range []int64{0, 1000} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 1, func(r *contract.Route) { r.MaxWaitingTokens = quota })
			defer f.close()
			time.Sleep(2 * f.route.GiveUpAfter)
			m := f.start("new")
			m.store.callLatency.Store(int64(100 * time.Millisecond))
			if err := m.Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
				t.Fatal(err)
			}
			for _, rows := range f.rowsOf("jobs") {
				var head struct {
					AcceptedMS int64 `json:"accepted_ms"`
				}
				if err := json.Unmarshal(rows[0].Value, &head); err != nil || head.AcceptedMS < (2*f.route.GiveUpAfter).Milliseconds() {
					t.Errorf("accepted at %d ms of the store, %v", head.AcceptedMS, err)
				}
			}
			wantAll(t, f.read(f.instances[0], "j"), "a", "b")
		})
	}
}

func TestJobAcceptedAfterALateFeedResponseIsNotGivenUpEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const latency = 4 * time.Second
		startedAt := time.Now()
		f := newFleet(t, 2, nil)
		defer f.close()
		time.Sleep(time.Second)
		m := f.instances[0]
		m.store.changesLatency.Store(int64(latency))
		for i := range 4 {
			if err := f.instances[1].Submit(t.Context(), f.submission("before"+strconv.Itoa(i), "short-"+strconv.Itoa(i))); err != nil {
				t.Fatal(err)
			}
			time.Sleep(latency)
		}
		for i := range 20 {
			time.Sleep(latency / 10)
			sentAt, id := time.Since(startedAt), "j"+strconv.Itoa(i)
			if err := m.Submit(t.Context(), f.submission(id, "short-a")); err != nil {
				t.Fatal(err)
			}
			for _, rows := range f.rowsOf("jobs") {
				for _, row := range rows {
					var head struct {
						AcceptedMS int64 `json:"accepted_ms"`
					}
					if err := json.Unmarshal(row.Value, &head); row.Key == id && (err != nil || head.AcceptedMS < sentAt.Milliseconds()) {
						t.Errorf("job %s sent at %v was accepted at %d ms of the store, %v", id, sentAt, head.AcceptedMS, err)
					}
				}
			}
		}
	})
}

// TestAcceptanceMakesFewSequentialStoreCalls: a caller must get its response within
// the callers' objective of 400 ms from a store that takes 100 ms a call.
func TestAcceptanceMakesFewSequentialStoreCalls(t *testing.T) {
	for _, quota := range []int64{0, 1000} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 1, func(r *contract.Route) { r.MaxWaitingTokens = quota })
			defer f.close()
			f.store.SetMaxResponseTime(0)
			f.instances[0].store.callLatency.Store(int64(100 * time.Millisecond))
			startedAt := time.Now()
			if err := f.instances[0].Submit(t.Context(), f.submission("j", "a", "b")); err != nil {
				t.Fatal(err)
			}
			if took := time.Since(startedAt); took > 400*time.Millisecond {
				t.Errorf("with quota %d: accepted after %v", quota, took)
			}
		})
	}
}

// TestQuotaHoldsWhenAnswersAreLost submits to all instances at the same time while
// responses of the store are lost and transactions take effect late.
func TestQuotaHoldsWhenAnswersAreLost(t *testing.T) {
	for lost := range 9 {
		for _, delay := range []time.Duration{0, 40 * time.Millisecond, time.Second} {
			synctest.Test(t, func(t *testing.T) {
				const quota = 900
				f := newFleet(t, 4, func(r *contract.Route) { r.MaxWaitingTokens = quota })
				defer f.close()
				f.store.SetFaults(memory.RowFaults{LoseResponses: lost, EffectDelay: delay})
				refused := map[string]bool{}
				var mu sync.Mutex
				var wait sync.WaitGroup
				for i := range 12 {
					wait.Go(func() {
						id := strconv.Itoa(i)
						err := f.instances[i%4].Submit(t.Context(), f.submission("j"+id, "a"+id, "b"+id))
						mu.Lock()
						defer mu.Unlock()
						refused["j"+id] = err != nil && code.From(err).Outcome == code.NotRun
					})
				}
				for range 40 {
					time.Sleep(100 * time.Millisecond)
					if n := f.waiting(); n > quota {
						t.Fatalf("%d lost, delay %v: %d tokens wait, the quota is %d", lost, delay, n, quota)
					}
				}
				wait.Wait()
				f.store.WaitDelayed()
				for _, rows := range f.rowsOf("jobs") {
					for _, r := range rows {
						if refused[r.Key] {
							t.Errorf("%d lost, delay %v: job %s is kept and was refused", lost, delay, r.Key)
						}
					}
				}
			})
		}
	}
}

// TestJobOfAnEarlierVersionRunsInItsPart: earlier versions kept all jobs in the first
// part.
func TestJobOfAnEarlierVersionRunsInItsPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		const jobs = 8
		for i := range jobs {
			id := fmt.Sprint("old", i)
			if err := f.store.PutBlob(t.Context(), "job-"+id, fmt.Appendf(nil, "x%d y%d", i, i)); err != nil {
				t.Fatal(err)
			}
			head := fmt.Appendf(nil, `{"route":%q,"host":"h","total":2,"listed":0,"tokens":200,"accepted_ms":0,"keep_ms":60000,"owner":"gone"}`, f.route.ID())
			if _, err := f.store.ApplyRows(t.Context(), storage.RowTransaction{Puts: []storage.TableRow{{
				RowKey: storage.RowKey{Table: "jobs", Part: "0", Key: id}, Value: head,
			}}}); err != nil {
				t.Fatal(err)
			}
		}
		for i := range jobs {
			wantAll(t, f.read(f.instances[0], fmt.Sprint("old", i)), fmt.Sprint("x", i), fmt.Sprint("y", i))
		}
		if rows := f.rowsOf("job_results"); len(rows) != 1 || len(rows["0"]) != 2*jobs {
			t.Errorf("%d results in part 0, rows in %d parts", len(rows["0"]), len(rows))
		}
	})
}

// TestConcurrentJobsAreAllAccepted submits a job to each of 60 instances at the same
// time. All of them reserve tokens of the same route, and a store call takes 5 ms.
func TestConcurrentJobsAreAllAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 60
		f := newFleet(t, jobs, func(r *contract.Route) { r.MaxWaitingTokens = 1e6 })
		defer f.close()
		time.Sleep(2 * time.Second) // All instances have read the store.
		startedAt := time.Now()
		var wait sync.WaitGroup
		var slowest atomic.Int64
		for i, m := range f.instances {
			m.store.callLatency.Store(int64(5 * time.Millisecond))
			wait.Go(func() {
				id := strconv.Itoa(i)
				if err := m.Submit(t.Context(), f.submission("j"+id, "a"+id)); err != nil {
					t.Errorf("job %d: %v", i, err)
				}
				slowest.Store(max(slowest.Load(), int64(time.Since(startedAt))))
			})
		}
		wait.Wait()
		t.Logf("%d jobs, the last accepted after %v", jobs, time.Duration(slowest.Load()))
	})
}

// TestJobThatLosesEveryConflictIsRejectedWithRetryAfter: the caller must be told that
// the store did not take the job and when to retry, not that there was a conflict.
func TestJobThatLosesEveryConflictIsRejectedWithRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, func(r *contract.Route) { r.MaxWaitingTokens = 1000 })
		defer f.close()
		generation := storage.TableRow{RowKey: reservationRowKey(f.route.ID(), ""), Value: []byte("{}")}
		f.instances[0].store.beforeCall = func(call string) {
			if call != "gate" {
				return
			}
			time.Sleep(time.Millisecond)
			if _, err := f.store.ApplyRows(t.Context(), storage.RowTransaction{Puts: []storage.TableRow{generation}}); err != nil {
				t.Error(err)
			}
		}
		err := f.instances[0].Submit(t.Context(), f.submission("j", "a"))
		if e := code.From(err); e == nil || e.Number != code.StoreUnavailable || e.Outcome != code.NotRun || e.RetryAfter == 0 {
			t.Errorf("got %v", err)
		}
	})
}
