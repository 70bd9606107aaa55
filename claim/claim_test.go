package claim_test

import (
	"bytes"
	"context"
	"errors"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/claim"
	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/guard"
)

func runSynctest(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}

// requireResult fails the test unless the call ended with the error number, 0 for
// success, and the outcome.
func requireResult(t *testing.T, step string, err error, number code.Number, outcome code.Outcome) {
	t.Helper()
	if code.Of(err) != number {
		t.Fatalf("%s: %v, want number %d", step, err, number)
	}
	if number != 0 && code.From(err).Outcome != outcome {
		t.Fatalf("%s: outcome %q, want %q", step, code.From(err).Outcome, outcome)
	}
}

// requireAgreement resends a finished call to the given instances. All must return
// the same answer, without a second run.
func requireAgreement(t *testing.T, f *fleet, key string, want contract.PlainAnswer, live ...int) {
	t.Helper()
	for _, i := range live {
		got, err := f.do(t.Context(), i, key)
		requireResult(t, "resend", err, 0, "")
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("answers differ:\n%s", d)
		}
	}
	if n := f.runsOf(key); n != 1 {
		t.Errorf("%d runs of %s, want 1", n, key)
	}
}

func TestResendGetsStoredAnswerOnEveryInstance(t *testing.T) {
	runFleet(t, 3, nil, func(t *testing.T, f *fleet) {
		answer, err := f.do(t.Context(), 0, "k")
		requireResult(t, "first", err, 0, "")
		f.kill(0)
		requireAgreement(t, f, "k", answer, 1, 2)
	})
}

func TestLookupClaimsNothing(t *testing.T) {
	runFleet(t, 2, nil, func(t *testing.T, f *fleet) {
		lookup := func() (contract.PlainAnswer, error) { return f.instances[1].Lookup(t.Context(), "a", "s", "k") }
		_, err := lookup()
		requireResult(t, "before the call", err, code.NotFound, code.NotRun)
		answer, err := f.instances[0].Do(t.Context(), params("k"), func(context.Context) (contract.PlainAnswer, error) {
			_, err := lookup()
			requireResult(t, "during the run", err, code.ResultPending, code.Unknown)
			return f.run("k"), nil
		})
		requireResult(t, "call", err, 0, "")
		got, err := lookup()
		requireResult(t, "after the call", err, 0, "")
		if d := cmp.Diff(answer, got); d != "" {
			t.Errorf("answers differ:\n%s", d)
		}
		f.store.Faults().SetDown(true)
		_, err = lookup()
		requireResult(t, "in an outage", err, code.StoreUnavailable, code.Unknown)
	})
}

func TestLargeAnswersShareObjectsAndReadBack(t *testing.T) {
	runFleet(t, 3, nil, func(t *testing.T, f *fleet) {
		large := bytes.Repeat([]byte("x"), 5<<10)
		var keys []string
		for i := range 40 {
			keys = append(keys, strconv.Itoa(i))
		}
		errs := make(chan error, len(keys))
		for i, key := range keys {
			go func() {
				_, err := f.instances[i%3].Do(t.Context(), params(key), func(context.Context) (contract.PlainAnswer, error) {
					answer := f.run(key)
					answer.Body = append(answer.Body, large...)
					return answer, nil
				})
				errs <- err
			}()
		}
		for range keys {
			requireResult(t, "first", <-errs, 0, "")
		}
		objects, err := f.store.List(t.Context(), "", "", 0)
		if err != nil || len(objects) > len(keys)/2 {
			t.Errorf("%d objects for %d answers: %v", len(objects), len(keys), err)
		}
		for i, key := range keys {
			want := contract.PlainAnswer{Status: 200, Body: append([]byte(key+" run 1"), large...)}
			requireAgreement(t, f, key, want, (i+1)%3)
		}
	})
}

// TestOwnerStoresAnswersOfWholeFleet gives one owner the answers of one second at the
// target size. Its guard has the share of the store of one instance in a fleet of
// 550.
func TestOwnerStoresAnswersOfWholeFleet(t *testing.T) {
	adjust := func(o *claim.Options) {
		g, err := guard.New(guard.Options{Store: o.Objects.(storage.Store), LiveInstances: func() int { return 550 }})
		if err != nil {
			panic(err)
		}
		o.Table, o.Objects = g.View(guard.Urgent), g.View(guard.Urgent)
		o.OwnerTable, o.OwnerObjects = g.View(guard.Owner), g.View(guard.Owner)
	}
	runFleet(t, 1, adjust, func(t *testing.T, f *fleet) {
		const calls = 550
		large := make([]byte, 8<<10)
		errs := make(chan error, calls)
		started := time.Now()
		for i := range calls {
			go func() {
				time.Sleep(time.Duration(i) * time.Second / calls)
				_, err := f.instances[0].Do(t.Context(), params(strconv.Itoa(i)), func(context.Context) (contract.PlainAnswer, error) {
					return contract.PlainAnswer{Status: 200, Body: large}, nil
				})
				errs <- err
			}()
		}
		for range calls {
			requireResult(t, "call", <-errs, 0, "")
		}
		if took := time.Since(started); took > 2*time.Second {
			t.Errorf("the answers of one second were stored after %s, want at most 2s", took)
		}
	})
}

func TestLostAnswersOfStoreAreResolved(t *testing.T) {
	for name, inject := range map[string]func(f *fleet){
		"lost after the effect":  func(f *fleet) { f.store.Faults().LoseResponses(2) },
		"late effect":            func(f *fleet) { f.store.Faults().HoldWrites(2) },
		"lost between instances": func(f *fleet) { f.loseForwards(2) },
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 3, nil, func(t *testing.T, f *fleet) {
				for i, key := range []string{"a", "b", "c"} {
					inject(f)
					answer, err := f.instances[i].Do(t.Context(), params(key), func(context.Context) (contract.PlainAnswer, error) {
						inject(f)
						return f.run(key), nil
					})
					f.store.ReleaseHeld()
					requireResult(t, "first", err, 0, "")
					requireAgreement(t, f, key, answer, 0, 1, 2)
				}
				if f.lostAnswers() < 3 {
					t.Errorf("%d answers were lost, want at least 3", f.lostAnswers())
				}
			})
		})
	}
}

func TestClaimFailsWithoutRunWhileStoreIsDown(t *testing.T) {
	runFleet(t, 3, nil, func(t *testing.T, f *fleet) {
		f.store.Faults().SetDown(true)
		_, err := f.do(t.Context(), 0, "k")
		requireResult(t, "in the outage", err, code.ClaimUnavailable, code.NotRun)
		// The owner tries once, and the instance itself when it is not the owner.
		if n := f.store.Faults().Counts().Refused; n < 1 || n > 2 || f.runsOf("k") != 0 {
			t.Errorf("%d calls of the store in the outage, want 1 or 2; %d runs, want 0", n, f.runsOf("k"))
		}
		f.store.Faults().SetDown(false)
		answer, err := f.do(t.Context(), 1, "k")
		requireResult(t, "after the outage", err, 0, "")
		requireAgreement(t, f, "k", answer, 0, 1, 2)
	})
}

// TestRejectedClaimThatTookEffectIsReleased loses every response to the claim: the
// caller is rejected although the row is in the table. A resend must be able to run
// the call.
func TestRejectedClaimThatTookEffectIsReleased(t *testing.T) {
	runFleet(t, 2, nil, func(t *testing.T, f *fleet) {
		f.store.Faults().LoseResponses(100)
		_, err := f.do(t.Context(), 0, "k")
		requireResult(t, "refused", err, code.ClaimUnavailable, code.NotRun)
		f.store.Faults().LoseResponses(0)
		time.Sleep(time.Minute)
		answer, err := f.do(t.Context(), 1, "k")
		requireResult(t, "resend", err, 0, "")
		requireAgreement(t, f, "k", answer, 0, 1)
	})
}

// TestStoreDownAtFinish holds the answer during an outage of the store. No caller may
// get the outcome not_run meanwhile, and all must get the answer afterwards.
func TestStoreDownAtFinish(t *testing.T) {
	runFleet(t, 2, nil, func(t *testing.T, f *fleet) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		var answer contract.PlainAnswer
		_, err := f.instances[0].Do(ctx, params("k"), func(context.Context) (contract.PlainAnswer, error) {
			f.store.Faults().SetDown(true)
			answer = f.run("k")
			return answer, nil
		})
		requireResult(t, "first", err, code.ResultPending, code.Unknown)
		_, err = f.do(t.Context(), 0, "k")
		requireResult(t, "resend to the holder in the outage", err, code.ResultPending, code.Unknown)
		f.store.Faults().SetDown(false)
		if held := f.instances[0].Drain(t.Context()); held != 0 {
			t.Fatalf("%d answers not stored", held)
		}
		requireAgreement(t, f, "k", answer, 0, 1)
	})
}

func TestInstanceKilledBeforeRun(t *testing.T) {
	runFleet(t, 3, nil, func(t *testing.T, f *fleet) {
		p := params("k")
		p.Deadline = time.Now().Add(time.Minute)
		result, err := f.instances[0].Claim(t.Context(), p)
		if err != nil || result.State != claim.Granted {
			t.Fatalf("claim: %v, %v", result.State, err)
		}
		f.kill(0)
		requireLostAfterDeadline(t, f, 0)
	})
}

func TestInstanceKilledBetweenRunAndFinish(t *testing.T) {
	runFleet(t, 3, nil, func(t *testing.T, f *fleet) {
		p := params("k")
		p.Deadline = time.Now().Add(time.Minute)
		_, err := f.instances[0].Do(t.Context(), p, func(context.Context) (contract.PlainAnswer, error) {
			answer := f.run("k")
			f.kill(0)
			<-f.instances[0].done
			return answer, nil
		})
		requireResult(t, "first", err, code.OutcomeUnknown, code.Unknown)
		requireLostAfterDeadline(t, f, 1)
	})
}

// requireLostAfterDeadline resends a call whose holder was killed: it must be pending
// before its deadline and unknown afterwards.
func requireLostAfterDeadline(t *testing.T, f *fleet, runs int) {
	t.Helper()
	_, err := f.do(t.Context(), 1, "k")
	requireResult(t, "before the deadline", err, code.ResultPending, code.Unknown)
	time.Sleep(2 * time.Minute)
	for _, i := range []int{1, 2} {
		_, err := f.do(t.Context(), i, "k")
		requireResult(t, "after the deadline", err, code.OutcomeUnknown, code.Unknown)
	}
	if n := f.runsOf("k"); n != runs {
		t.Errorf("%d runs, want %d", n, runs)
	}
}

func TestUpstreamFailureAfterDispatchStaysUnknown(t *testing.T) {
	runFleet(t, 2, nil, func(t *testing.T, f *fleet) {
		_, err := f.instances[0].Do(t.Context(), params("k"), func(context.Context) (contract.PlainAnswer, error) {
			f.run("k")
			return contract.PlainAnswer{}, errors.New("connection reset")
		})
		requireResult(t, "first", err, code.OutcomeUnknown, code.Unknown)
		f.instances[0].Drain(t.Context())
		_, err = f.do(t.Context(), 1, "k")
		requireResult(t, "resend", err, code.OutcomeUnknown, code.Unknown)
		if n := f.runsOf("k"); n != 1 {
			t.Errorf("%d runs, want 1", n)
		}
	})
}

func TestCallThatWasNotDispatchedMayBeResent(t *testing.T) {
	runFleet(t, 2, nil, func(t *testing.T, f *fleet) {
		f.store.Faults().LoseResponses(1)
		_, err := f.instances[0].Do(t.Context(), params("k"), func(context.Context) (contract.PlainAnswer, error) {
			f.store.Faults().LoseResponses(1)
			return contract.PlainAnswer{}, code.New(code.UpstreamRefused, "busy")
		})
		requireResult(t, "first", err, code.UpstreamRefused, code.NotRun)
		answer, err := f.do(t.Context(), 1, "k")
		requireResult(t, "resend", err, 0, "")
		requireAgreement(t, f, "k", answer, 0, 1)
	})
}

func TestResendWithOtherContentConflicts(t *testing.T) {
	runFleet(t, 2, nil, func(t *testing.T, f *fleet) {
		_, err := f.do(t.Context(), 0, "k")
		requireResult(t, "first", err, 0, "")
		p := params("k")
		p.Content = []byte("other")
		_, err = f.instances[1].Do(t.Context(), p, func(context.Context) (contract.PlainAnswer, error) { return f.run("k"), nil })
		requireResult(t, "other content", err, code.KeyConflict, code.NotRun)
		if n := f.runsOf("k"); n != 1 {
			t.Errorf("%d runs, want 1", n)
		}
	})
}

// TestDisagreeingOwnersRunOnce gives every instance a view of itself alone, so that
// each commits for every group.
func TestDisagreeingOwnersRunOnce(t *testing.T) {
	runFleet(t, 5, nil, func(t *testing.T, f *fleet) {
		for _, m := range f.instances {
			m.view.set([]claim.Peer{{ID: m.id, Address: m.id}})
		}
		requireOneRunPerKey(t, f, 5)
	})
}

func TestUnreachableOwnersRunOnce(t *testing.T) {
	runFleet(t, 5, nil, func(t *testing.T, f *fleet) {
		for _, m := range f.instances {
			f.disconnect(m.id, true)
		}
		requireOneRunPerKey(t, f, 5)
	})
}

// requireOneRunPerKey sends many keys to every instance at the same time. For each
// key one call must run; the others must get its answer or a pending result.
func requireOneRunPerKey(t *testing.T, f *fleet, instances int) {
	t.Helper()
	keys := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	errs := make(chan error, len(keys)*instances)
	for _, key := range keys {
		for i := range instances {
			go func() {
				_, err := f.do(t.Context(), i, key)
				errs <- err
			}()
		}
	}
	for range cap(errs) {
		if err := <-errs; err != nil && code.Of(err) != code.ResultPending {
			t.Errorf("racing call: %v", err)
		}
	}
	for _, key := range keys {
		if n := f.runsOf(key); n != 1 {
			t.Errorf("%d runs of %s, want 1", n, key)
		}
	}
}

// TestOldClaimsAreRemoved uses instance ids in the claims that differ from the ids in
// the view: instances must still find the groups that they own.
func TestOldClaimsAreRemoved(t *testing.T) {
	adjust := func(o *claim.Options) {
		o.PeerID = o.InstanceID
		o.InstanceID += "/process"
		o.InlineBytes = 1
		o.Retention = time.Hour
	}
	runFleet(t, 2, adjust, func(t *testing.T, f *fleet) {
		for _, key := range []string{"a", "b", "c", "d", "e", "f"} {
			_, err := f.do(t.Context(), 0, key)
			requireResult(t, "first", err, 0, "")
		}
		time.Sleep(30 * time.Minute)
		if !f.instances[0].State().Listed {
			t.Error("the instance does not find itself in the view")
		}
		answer, err := f.do(t.Context(), 1, "a")
		requireResult(t, "within the retention", err, 0, "")
		requireAgreement(t, f, "a", answer, 0)
		time.Sleep(3 * time.Hour)
		rows, err := f.store.Range(t.Context(), "", "", 0)
		if err != nil || len(rows) != 0 {
			t.Errorf("%d rows after the retention: %v", len(rows), err)
		}
		objects, err := f.store.List(t.Context(), "", "", 0)
		if err != nil || len(objects) != 0 {
			t.Errorf("%d objects after the retention: %v", len(objects), err)
		}
	})
}
