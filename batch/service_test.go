package batch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// longLines returns lines of 900 KiB, whose segments fill more than one input
// object.
func longLines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"custom_id":"item-%d","method":"POST","url":"/s/quote/do","body":%q}`+"\n", i, strings.Repeat("x", 900<<10))
	}
	return b.String()
}

func countObjects(t *testing.T, store *memory.Store, prefix string) int {
	t.Helper()
	infos, err := store.List(context.Background(), prefix, "", 0)
	if err != nil {
		t.Fatal(err)
	}
	return len(infos)
}

// TestResendAfterAFaultAtEachStepIsTheSameJob injects a fault at each write of a
// submission and submits it again: there must be exactly one job, with its input
// and no other objects.
func TestResendAfterAFaultAtEachStepIsTheSameJob(t *testing.T) {
	t.Parallel()
	input := longLines(5)
	faults := []struct {
		name   string
		inject func(faulty *faultStore) fault
	}{
		{"answer lost", func(*faultStore) fault { return loseResponse }},
		{"answer lost and instance dead", func(*faultStore) fault { return loseResponseAndCrash }},
		{"no effect and instance dead", func(faulty *faultStore) fault { faulty.setDown(true); return noFault }},
	}
	const steps = 4
	for step := 1; step <= steps; step++ {
		for _, f := range faults {
			t.Run(fmt.Sprintf("%s at write %d", f.name, step), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					store := memory.New()
					faulty := newFaultStore(store)
					faulty.setWriteHook(func(n int, _ *storage.Transaction) fault {
						if n != step {
							return noFault
						}
						return f.inject(faulty)
					})
					ctx := context.Background()
					first, firstErr := newTestService(t, faulty).Submit(ctx, account, "k", Request{Input: strings.NewReader(input)})
					if faulty.injectedFaults() == 0 {
						t.Fatal("no fault was injected")
					}
					service := newTestService(t, store)
					again := submit(t, service, "k", input)
					if firstErr == nil && first.ID != again.ID {
						t.Errorf("resend is job %s, first was %s", again.ID, first.ID)
					}
					checkOneJob(t, service, store, again)
				})
			})
		}
	}
}

// checkOneJob checks that the account has only this job, that a later sweep leaves
// its input objects and no others, and that the job runs.
func checkOneJob(t *testing.T, service *Service, store *memory.Store, job Job) {
	t.Helper()
	jobs, err := service.List(context.Background(), account, "", 0)
	if err != nil || len(jobs) != 1 || jobs[0].ID != job.ID {
		t.Fatalf("jobs %v, %v; want just %s", jobs, err, job.ID)
	}
	time.Sleep(3 * time.Hour)
	sweeper, err := NewSweeper(SweeperOptions{Store: store, View: newView("i1")})
	if err != nil {
		t.Fatal(err)
	}
	if err := sweeper.Sweep(context.Background()); err != nil {
		t.Fatal(err)
	}
	if n := countObjects(t, store, inputPrefix); n != 2 {
		t.Errorf("%d input objects after the sweep, want the 2 of the job", n)
	}
	r := startRunner(t, RunnerOptions{Store: store, Executor: newExecutor(nil)})
	defer r.stop()
	waitState(t, service, job.ID, StateFinished)
	checkEachOnce(t, results(t, service, job.ID), 5)
}

func TestKeyWithOtherContentIsAConflict(t *testing.T) {
	service := newTestService(t, memory.New())
	first := submit(t, service, "k", chatLines(2))
	if again := submit(t, service, "k", chatLines(2)); again.ID != first.ID {
		t.Errorf("resend is job %s, want %s", again.ID, first.ID)
	}
	ctx := context.Background()
	for name, r := range map[string]Request{
		"input":    {Input: strings.NewReader(chatLines(3))},
		"settings": {Input: strings.NewReader(chatLines(2)), Settings: Settings{Deadline: time.Hour}},
	} {
		if _, err := service.Submit(ctx, account, "k", r); code.Of(err) != code.JobKeyConflict {
			t.Errorf("other %s: %v, want JobKeyConflict", name, err)
		}
	}
	if other := submit(t, service, "", chatLines(2)); other.ID == first.ID {
		t.Error("a job without a key is the job with one")
	}
}

func TestBrokenInputIsRefusedByLine(t *testing.T) {
	good := strings.TrimSuffix(chatLines(1), "\n")
	long := `{"custom_id":"long","method":"POST","url":"/s/quote/do","body":"` + strings.Repeat("x", 2<<20) + `"}`
	tests := []struct {
		name, input, account string
		number               code.Number
		says                 []string
	}{
		{"not JSON", good + "\nnonsense\n" + good, account, code.ItemInvalid, []string{"1 broken", "line 2:"}},
		{"blank lines count", good + "\n\n{}", account, code.ItemInvalid, []string{"line 3: custom_id"}},
		{"oversized", long + "\n" + good + "\n" + long, account, code.ItemInvalid, []string{"2 broken", "line 1: over", "line 3: over"}},
		{"unknown service", strings.ReplaceAll(good, `"chat"`, `"none"`), account, code.ItemInvalid, []string{"line 1: no service"}},
		{"kind of service", plainLines("chat", 1), account, code.ItemInvalid, []string{"line 1:"}},
		{"unknown url", strings.ReplaceAll(good, "/v1/chat", "/v2/chat"), account, code.ItemInvalid, []string{"line 1: url"}},
		{"method", strings.ReplaceAll(good, "POST", "BREW"), account, code.ItemInvalid, []string{"line 1: method"}},
		{"forged invalid", `{"custom_id":"a","invalid":"x"}`, account, code.ItemInvalid, []string{"line 1:"}},
		{"many", strings.Repeat("x\n", 100), account, code.ItemInvalid, []string{"100 broken", "line 20:", "and 80 more"}},
		{"empty", " \n\n", account, code.ItemInvalid, []string{"no items"}},
		{"too many", chatLines(4), "small", code.TooManyItems, []string{"more than 3"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := memory.New()
			service := newTestService(t, store)
			_, err := service.Submit(context.Background(), tt.account, "k", Request{Input: strings.NewReader(tt.input)})
			if code.Of(err) != tt.number {
				t.Fatalf("error %v, want number %d", err, tt.number)
			}
			for _, s := range tt.says {
				if !strings.Contains(err.Error(), s) {
					t.Errorf("error %q does not contain %q", err, s)
				}
			}
			if n := countObjects(t, store, ""); n != 0 {
				t.Errorf("%d objects left by a refused job", n)
			}
		})
	}
}

func TestBrokenInputCompletesAsFailedWhenAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		service := newTestService(t, store)
		input := chatLines(1) + "nonsense\n" + `{"custom_id":"item-2","method":"POST","url":"/s/none/x"}` + "\n"
		request := Request{Input: strings.NewReader(input), Settings: Settings{OnInvalid: FailItem}}
		job, err := service.Submit(context.Background(), account, "k", request)
		if err != nil {
			t.Fatal(err)
		}
		r := startRunner(t, RunnerOptions{Store: store, Executor: newExecutor(nil)})
		defer r.stop()
		job = waitState(t, service, job.ID, StateFinished)
		if job.Counts != (Counts{Total: 3, Completed: 1, Failed: 2}) {
			t.Errorf("counts %+v", job.Counts)
		}
		for i, l := range results(t, service, job.ID)[1:] {
			if l.Error == nil || l.Error.Number != code.ItemInvalid || !strings.Contains(l.Error.Message, fmt.Sprintf("line %d:", i+2)) {
				t.Errorf("result %+v, want ItemInvalid with the line", l.Error)
			}
		}
	})
}

func TestInputObjectOfTheAccountOnly(t *testing.T) {
	store := memory.New()
	service := newTestService(t, store)
	ctx := context.Background()
	ownKey, foreignKey := CallerInputPrefix(account)+"sheet", CallerInputPrefix("other")+"sheet"
	for _, key := range []string{ownKey, foreignKey} {
		if err := store.Put(ctx, key, []byte(chatLines(2))); err != nil {
			t.Fatal(err)
		}
	}
	if job, err := service.Submit(ctx, account, "k", Request{InputObject: ownKey}); err != nil || job.Counts.Total != 2 {
		t.Errorf("own object: %+v, %v", job, err)
	}
	if _, err := service.Submit(ctx, account, "f", Request{InputObject: foreignKey}); code.Of(err) != code.InvalidField {
		t.Errorf("object of another account: %v, want InvalidField", err)
	}
	if _, err := service.Submit(ctx, account, "m", Request{InputObject: ownKey + "s"}); code.Of(err) != code.NotFound {
		t.Errorf("missing object: %v, want NotFound", err)
	}
}

func TestJobOfAnotherAccountIsUnknown(t *testing.T) {
	service := newTestService(t, memory.New())
	job := submit(t, service, "k", chatLines(1))
	ctx := context.Background()
	_, statusErr := service.Status(ctx, "small", job.ID)
	_, cancelErr := service.Cancel(ctx, "small", job.ID)
	_, resultsErr := service.Results(ctx, "small", job.ID, 0, &bytes.Buffer{})
	_, listErr := service.List(ctx, "small", job.ID, 0)
	for name, err := range map[string]error{"status": statusErr, "cancel": cancelErr, "results": resultsErr, "list": listErr} {
		if code.Of(err) != code.JobUnknown {
			t.Errorf("%s: %v, want JobUnknown", name, err)
		}
	}
	if jobs, err := service.List(ctx, "small", "", 0); err != nil || len(jobs) != 0 {
		t.Errorf("list: %v, %v", jobs, err)
	}
}

// brokenReader fails before the end of the input, as when a caller disconnects.
type brokenReader struct{ rest string }

func (r *brokenReader) Read(b []byte) (int, error) {
	if r.rest == "" {
		return 0, errors.New("connection reset")
	}
	n := copy(b, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

func TestInputThatEndsEarlyMakesNoJob(t *testing.T) {
	store := memory.New()
	service := newTestService(t, store)
	_, err := service.Submit(context.Background(), account, "k", Request{Input: &brokenReader{longLines(5)}})
	if code.Of(err) != code.SlowSender {
		t.Errorf("error %v, want SlowSender", err)
	}
	jobs, err := service.List(context.Background(), account, "", 0)
	if err != nil || len(jobs) != 0 || countObjects(t, store, "") != 0 {
		t.Errorf("jobs %v, %v and %d objects are left", jobs, err, countObjects(t, store, ""))
	}
}

func TestExpiredJobLeavesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		service := newTestService(t, store)
		done := submit(t, service, "k", chatLines(1200))
		r := startRunner(t, RunnerOptions{Store: store, Executor: newExecutor(nil)})
		waitState(t, service, done.ID, StateFinished)
		r.stop()
		if _, err := service.Cancel(context.Background(), account, submit(t, service, "c", chatLines(5)).ID); err != nil {
			t.Fatal(err)
		}
		submit(t, service, "", chatLines(5))
		sweeper, err := NewSweeper(SweeperOptions{Store: store, View: newView("i1")})
		if err != nil {
			t.Fatal(err)
		}
		for _, wait := range []time.Duration{27 * 24 * time.Hour, 2 * 24 * time.Hour} {
			time.Sleep(wait)
			if err := sweeper.Sweep(context.Background()); err != nil {
				t.Fatal(err)
			}
			if wait > 7*24*time.Hour {
				checkEachOnce(t, results(t, service, done.ID), 1200)
			}
		}
		rows, err := store.Range(context.Background(), "", "", 0)
		if err != nil || len(rows) != 0 || countObjects(t, store, "") != 0 {
			t.Errorf("rows %v, %v and %d objects are left", rows, err, countObjects(t, store, ""))
		}
	})
}
