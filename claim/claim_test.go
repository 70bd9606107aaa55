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

func inBubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}

// expect fails the test unless the call ended with the number, 0 for success,
// and the outcome.
func expect(t *testing.T, what string, err error, number code.Number, outcome code.Outcome) {
	t.Helper()
	if code.Of(err) != number {
		t.Fatalf("%s: %v, want number %d", what, err, number)
	}
	if number != 0 && code.From(err).Outcome != outcome {
		t.Fatalf("%s: outcome %q, want %q", what, code.From(err).Outcome, outcome)
	}
}

// expectAgreement resends a finished call everywhere and compares the answers.
func expectAgreement(t *testing.T, f *fleet, key string, want contract.PlainAnswer, live ...int) {
	t.Helper()
	for _, i := range live {
		got, err := f.do(t.Context(), i, key)
		expect(t, "resend", err, 0, "")
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("answers differ:\n%s", d)
		}
	}
	if n := f.runsOf(key); n != 1 {
		t.Errorf("%d runs of %s, want 1", n, key)
	}
}

func TestResendGetsStoredAnswerOnEveryInstance(t *testing.T) {
	bubble(t, 3, nil, func(t *testing.T, f *fleet) {
		answer, err := f.do(t.Context(), 0, "k")
		expect(t, "first", err, 0, "")
		f.kill(0)
		expectAgreement(t, f, "k", answer, 1, 2)
	})
}

func TestLookupClaimsNothing(t *testing.T) {
	bubble(t, 2, nil, func(t *testing.T, f *fleet) {
		lookup := func() (contract.PlainAnswer, error) { return f.members[1].Lookup(t.Context(), "a", "s", "k") }
		_, err := lookup()
		expect(t, "before the call", err, code.NotFound, code.NotRun)
		answer, err := f.members[0].Do(t.Context(), params("k"), func(context.Context) (contract.PlainAnswer, error) {
			_, err := lookup()
			expect(t, "during the run", err, code.ResultPending, code.Unknown)
			return f.run("k"), nil
		})
		expect(t, "call", err, 0, "")
		got, err := lookup()
		expect(t, "after the call", err, 0, "")
		if d := cmp.Diff(answer, got); d != "" {
			t.Errorf("answers differ:\n%s", d)
		}
		f.store.Faults().SetDown(true)
		_, err = lookup()
		expect(t, "in an outage", err, code.StoreUnavailable, code.Unknown)
	})
}

func TestLargeAnswersShareObjectsAndReadBack(t *testing.T) {
	bubble(t, 3, nil, func(t *testing.T, f *fleet) {
		large := bytes.Repeat([]byte("x"), 5<<10)
		var keys []string
		for i := range 40 {
			keys = append(keys, strconv.Itoa(i))
		}
		errs := make(chan error, len(keys))
		for i, key := range keys {
			go func() {
				_, err := f.members[i%3].Do(t.Context(), params(key), func(context.Context) (contract.PlainAnswer, error) {
					answer := f.run(key)
					answer.Body = append(answer.Body, large...)
					return answer, nil
				})
				errs <- err
			}()
		}
		for range keys {
			expect(t, "first", <-errs, 0, "")
		}
		objects, err := f.store.List(t.Context(), "", "", 0)
		if err != nil || len(objects) > len(keys)/2 {
			t.Errorf("%d objects for %d answers: %v", len(objects), len(keys), err)
		}
		for i, key := range keys {
			want := contract.PlainAnswer{Status: 200, Body: append([]byte(key+" run 1"), large...)}
			expectAgreement(t, f, key, want, (i+1)%3)
		}
	})
}

// TestOwnerStoresAnswersOfWholeFleet gives an owner the answers of a second of
// the target size, with the shares of a fleet of 550 instances.
func TestOwnerStoresAnswersOfWholeFleet(t *testing.T) {
	adjust := func(o *claim.Options) {
		g, err := guard.New(guard.Options{Store: o.Objects.(storage.Store), Live: func() int { return 550 }})
		if err != nil {
			panic(err)
		}
		o.Table, o.Objects = g.View(guard.Urgent), g.View(guard.Urgent)
		o.OwnerTable, o.OwnerObjects = g.View(guard.Owner), g.View(guard.Owner)
	}
	bubble(t, 1, adjust, func(t *testing.T, f *fleet) {
		const calls = 550
		large := make([]byte, 8<<10)
		errs := make(chan error, calls)
		started := time.Now()
		for i := range calls {
			go func() {
				time.Sleep(time.Duration(i) * time.Second / calls)
				_, err := f.members[0].Do(t.Context(), params(strconv.Itoa(i)), func(context.Context) (contract.PlainAnswer, error) {
					return contract.PlainAnswer{Status: 200, Body: large}, nil
				})
				errs <- err
			}()
		}
		for range calls {
			expect(t, "call", <-errs, 0, "")
		}
		if took := time.Since(started); took > 2*time.Second {
			t.Errorf("the answers of one second were stored after %s", took)
		}
	})
}

func TestLostAnswersOfStoreAreResolved(t *testing.T) {
	for name, inject := range map[string]func(f *fleet){
		"lost after the effect":  func(f *fleet) { f.store.Faults().LoseAnswers(2) },
		"late effect":            func(f *fleet) { f.store.Faults().HoldWrites(2) },
		"lost between instances": func(f *fleet) { f.loseForwards(2) },
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, 3, nil, func(t *testing.T, f *fleet) {
				for i, key := range []string{"a", "b", "c"} {
					inject(f)
					answer, err := f.members[i].Do(t.Context(), params(key), func(context.Context) (contract.PlainAnswer, error) {
						inject(f)
						return f.run(key), nil
					})
					f.store.ReleaseHeld()
					expect(t, "first", err, 0, "")
					expectAgreement(t, f, key, answer, 0, 1, 2)
				}
				if f.injected() < 3 {
					t.Errorf("%d answers were lost, want at least 3", f.injected())
				}
			})
		})
	}
}

func TestNoTableRefusesWithoutRun(t *testing.T) {
	bubble(t, 3, nil, func(t *testing.T, f *fleet) {
		f.store.Faults().SetDown(true)
		_, err := f.do(t.Context(), 0, "k")
		expect(t, "in the outage", err, code.ClaimUnavailable, code.NotRun)
		// The owner tries once, and the instance itself when it is not the owner.
		if n := f.store.Faults().Counts().Refused; n < 1 || n > 2 || f.runsOf("k") != 0 {
			t.Errorf("outage met %d times, want 1 or 2; %d runs, want 0", n, f.runsOf("k"))
		}
		f.store.Faults().SetDown(false)
		answer, err := f.do(t.Context(), 1, "k")
		expect(t, "after the outage", err, 0, "")
		expectAgreement(t, f, "k", answer, 0, 1, 2)
	})
}

// TestRefusedClaimThatLandedIsReleased loses every answer of the claim: the
// caller is refused, the row is in the table, and a resend may run it.
func TestRefusedClaimThatLandedIsReleased(t *testing.T) {
	bubble(t, 2, nil, func(t *testing.T, f *fleet) {
		f.store.Faults().LoseAnswers(100)
		_, err := f.do(t.Context(), 0, "k")
		expect(t, "refused", err, code.ClaimUnavailable, code.NotRun)
		f.store.Faults().LoseAnswers(0)
		time.Sleep(time.Minute)
		answer, err := f.do(t.Context(), 1, "k")
		expect(t, "resend", err, 0, "")
		expectAgreement(t, f, "k", answer, 0, 1)
	})
}

// TestStoreDownAtFinish holds the answer through an outage: meanwhile nobody
// hears not_run, and afterwards everybody gets the answer.
func TestStoreDownAtFinish(t *testing.T) {
	bubble(t, 2, nil, func(t *testing.T, f *fleet) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		var answer contract.PlainAnswer
		_, err := f.members[0].Do(ctx, params("k"), func(context.Context) (contract.PlainAnswer, error) {
			f.store.Faults().SetDown(true)
			answer = f.run("k")
			return answer, nil
		})
		expect(t, "first", err, code.ResultPending, code.Unknown)
		_, err = f.do(t.Context(), 0, "k")
		expect(t, "resend to the holder in the outage", err, code.ResultPending, code.Unknown)
		f.store.Faults().SetDown(false)
		if held := f.members[0].Drain(t.Context()); held != 0 {
			t.Fatalf("%d answers not stored", held)
		}
		expectAgreement(t, f, "k", answer, 0, 1)
	})
}

func TestInstanceDiesBeforeRun(t *testing.T) {
	bubble(t, 3, nil, func(t *testing.T, f *fleet) {
		p := params("k")
		p.Deadline = time.Now().Add(time.Minute)
		result, err := f.members[0].Claim(t.Context(), p)
		if err != nil || result.State != claim.Granted {
			t.Fatalf("claim: %v, %v", result.State, err)
		}
		f.kill(0)
		expectLostAfterDeadline(t, f, 0)
	})
}

func TestInstanceDiesBetweenRunAndFinish(t *testing.T) {
	bubble(t, 3, nil, func(t *testing.T, f *fleet) {
		p := params("k")
		p.Deadline = time.Now().Add(time.Minute)
		_, err := f.members[0].Do(t.Context(), p, func(context.Context) (contract.PlainAnswer, error) {
			answer := f.run("k")
			f.kill(0)
			<-f.members[0].done
			return answer, nil
		})
		expect(t, "first", err, code.OutcomeUnknown, code.Unknown)
		expectLostAfterDeadline(t, f, 1)
	})
}

// expectLostAfterDeadline resends a call whose holder is gone.
func expectLostAfterDeadline(t *testing.T, f *fleet, runs int) {
	t.Helper()
	_, err := f.do(t.Context(), 1, "k")
	expect(t, "before the deadline", err, code.ResultPending, code.Unknown)
	time.Sleep(2 * time.Minute)
	for _, i := range []int{1, 2} {
		_, err := f.do(t.Context(), i, "k")
		expect(t, "after the deadline", err, code.OutcomeUnknown, code.Unknown)
	}
	if n := f.runsOf("k"); n != runs {
		t.Errorf("%d runs, want %d", n, runs)
	}
}

func TestUpstreamFailureAfterDispatchIsUnknownForGood(t *testing.T) {
	bubble(t, 2, nil, func(t *testing.T, f *fleet) {
		_, err := f.members[0].Do(t.Context(), params("k"), func(context.Context) (contract.PlainAnswer, error) {
			f.run("k")
			return contract.PlainAnswer{}, errors.New("connection reset")
		})
		expect(t, "first", err, code.OutcomeUnknown, code.Unknown)
		f.members[0].Drain(t.Context())
		_, err = f.do(t.Context(), 1, "k")
		expect(t, "resend", err, code.OutcomeUnknown, code.Unknown)
		if n := f.runsOf("k"); n != 1 {
			t.Errorf("%d runs, want 1", n)
		}
	})
}

func TestCallThatWasNotDispatchedMayBeResent(t *testing.T) {
	bubble(t, 2, nil, func(t *testing.T, f *fleet) {
		f.store.Faults().LoseAnswers(1)
		_, err := f.members[0].Do(t.Context(), params("k"), func(context.Context) (contract.PlainAnswer, error) {
			f.store.Faults().LoseAnswers(1)
			return contract.PlainAnswer{}, code.New(code.UpstreamRefused, "busy")
		})
		expect(t, "first", err, code.UpstreamRefused, code.NotRun)
		answer, err := f.do(t.Context(), 1, "k")
		expect(t, "resend", err, 0, "")
		expectAgreement(t, f, "k", answer, 0, 1)
	})
}

func TestResendWithOtherContentConflicts(t *testing.T) {
	bubble(t, 2, nil, func(t *testing.T, f *fleet) {
		_, err := f.do(t.Context(), 0, "k")
		expect(t, "first", err, 0, "")
		p := params("k")
		p.Content = []byte("other")
		_, err = f.members[1].Do(t.Context(), p, func(context.Context) (contract.PlainAnswer, error) { return f.run("k"), nil })
		expect(t, "other content", err, code.KeyConflict, code.NotRun)
		if n := f.runsOf("k"); n != 1 {
			t.Errorf("%d runs, want 1", n)
		}
	})
}

// TestDisagreeingOwnersRunOnce gives every instance a view of its own alone, so
// that each commits for every group.
func TestDisagreeingOwnersRunOnce(t *testing.T) {
	bubble(t, 5, nil, func(t *testing.T, f *fleet) {
		for _, m := range f.members {
			m.view.set([]claim.Peer{{ID: m.id, Address: m.id}})
		}
		race(t, f, 5)
	})
}

func TestUnreachableOwnersRunOnce(t *testing.T) {
	bubble(t, 5, nil, func(t *testing.T, f *fleet) {
		for _, m := range f.members {
			f.disconnect(m.id, true)
		}
		race(t, f, 5)
	})
}

// race sends each of many keys to every instance at once: one runs it, and the
// others see it running or get its answer.
func race(t *testing.T, f *fleet, instances int) {
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

// TestOldClaimsAreRemoved also names the instances otherwise in their claims
// than in the view.
func TestOldClaimsAreRemoved(t *testing.T) {
	adjust := func(o *claim.Options) {
		o.PeerID = o.InstanceID
		o.InstanceID += "/process"
		o.InlineBytes = 1
		o.Retention = time.Hour
	}
	bubble(t, 2, adjust, func(t *testing.T, f *fleet) {
		for _, key := range []string{"a", "b", "c", "d", "e", "f"} {
			_, err := f.do(t.Context(), 0, key)
			expect(t, "first", err, 0, "")
		}
		time.Sleep(30 * time.Minute)
		if !f.members[0].State().Listed {
			t.Error("the instance does not find itself in the view")
		}
		answer, err := f.do(t.Context(), 1, "a")
		expect(t, "within the retention", err, 0, "")
		expectAgreement(t, f, "a", answer, 0)
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
