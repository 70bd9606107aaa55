package batch

import (
	"context"
	"fmt"
	"hash/fnv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// action is what a step of a random history does.
type action string

const (
	actSubmit  action = "submit"
	actResend  action = "resend"
	actCancel  action = "cancel"
	actRead    action = "read"
	actAdvance action = "advance"
	actCrash   action = "crash"
	actFreeze  action = "freeze"
	actThaw    action = "thaw"
	actLose    action = "lose answers"
	actDown    action = "store down"
	actUp      action = "store up"
	actStop    action = "planned stop"
)

// step is one step; Pick chooses the job or instance, Size a number.
type step struct {
	Do   action
	Pick int
	Size int
}

func drawSteps(rt *rapid.T) []step {
	one := rapid.Custom(func(rt *rapid.T) step {
		return step{
			Do: rapid.SampledFrom([]action{
				actSubmit, actResend, actCancel, actRead, actAdvance, actAdvance, actAdvance,
				actCrash, actFreeze, actThaw, actLose, actDown, actUp, actStop,
			}).Draw(rt, "do"),
			Pick: rapid.IntRange(0, 7).Draw(rt, "pick"),
			Size: rapid.IntRange(0, 7).Draw(rt, "size"),
		}
	})
	return rapid.SliceOfN(one, 5, 40).Draw(rt, "steps")
}

// world is the state of one random history.
type world struct {
	t        *testing.T
	store    *memory.Store
	service  *Service
	claims   *fakeClaims
	executor *fakeExecutor
	naive    bool

	instances []*worldInstance
	started   int
	jobs      []*worldJob
	faults    []string
}

type worldInstance struct {
	*testRunner
	way *gate
}

type worldJob struct {
	key       string
	input     string
	items     int
	id        string
	cancelled bool
	seen      []ResultLine
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// worldRun answers after 0 to 20 s; one item in 16 fails at first.
func (w *world) run(ctx context.Context, id string) (string, error) {
	h := fnv.New32a()
	h.Write([]byte(id))
	n := h.Sum32()
	if err := pause(ctx, time.Duration(n%20)*time.Second); err != nil {
		return "", err
	}
	if n%16 == 0 && w.executor.count(id) == 1 {
		return "", code.New(code.UpstreamFailed, "made to fail")
	}
	return fmt.Sprintf("run %d", w.executor.count(id)), nil
}

// pause waits for d. It makes no timer of zero: under the race detector a bubble
// that receives from expired timers on two threads at once crashes in Go 1.26.8
// (the bubble has one race context for its timers).
func pause(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// start adds an instance. Every instance sees those that did not crash.
func (w *world) start() {
	w.started++
	i := &worldInstance{way: newGate(w.store)}
	i.way.hook(func(_ int, tx *storage.Transaction) fault {
		if commits(tx) {
			i.way.stall()
		}
		if w.naive && tx != nil {
			withoutConditions(tx)
		}
		return none
	})
	i.testRunner = startRunner(w.t, RunnerOptions{
		Store: i.way, Executor: w.executor, Claims: w.claims, View: newView(fmt.Sprintf("i%d", w.started)),
	})
	w.instances = append(w.instances, i)
	w.members()
}

func (w *world) members() {
	var alive []string
	for _, i := range w.instances {
		if i.way.isDead() == nil && !i.way.isFrozen() {
			alive = append(alive, i.view.Self())
		}
	}
	for _, i := range w.instances {
		i.view.set(append([]string{i.view.Self()}, alive...)...)
	}
}

func (w *world) instance(s step) *worldInstance { return w.instances[s.Pick%len(w.instances)] }

func (w *world) job(s step) *worldJob {
	if len(w.jobs) == 0 {
		return nil
	}
	return w.jobs[s.Pick%len(w.jobs)]
}

func (w *world) do(s step) {
	job := w.job(s)
	switch s.Do {
	case actSubmit:
		w.submit(s)
	case actResend:
		if job != nil {
			w.send(job)
		}
	case actCancel:
		if job != nil {
			w.cancel(job)
		}
	case actRead:
		if job != nil {
			w.read(job)
		}
	case actAdvance:
		time.Sleep(time.Duration(1+s.Size*s.Size*s.Size) * 2 * time.Second)
	case actCrash:
		w.instance(s).way.kill(true)
		w.start()
	case actFreeze:
		w.instance(s).way.freeze()
		w.members()
	case actThaw:
		w.thaw(w.instance(s))
	case actLose:
		w.store.Faults().LoseAnswers(s.Size)
	case actDown, actUp:
		w.store.Faults().SetDown(s.Do == actDown)
	case actStop:
		i := w.instance(s)
		w.thaw(i)
		i.stop()
		w.start()
	}
	synctest.Wait()
}

func (w *world) thaw(i *worldInstance) {
	i.way.thaw()
	synctest.Wait()
	w.members()
}

func (w *world) submit(s step) {
	n := []int{1, 30, 30, 100, 100, 100, 600, 1100}[s.Size]
	lines := chatLines(n)
	if s.Pick%2 == 0 {
		lines = plainLines("pickup", n)
	}
	job := &worldJob{key: fmt.Sprint(len(w.jobs)), input: lines, items: n}
	w.jobs = append(w.jobs, job)
	w.send(job)
}

// send submits a job, perhaps again.
func (w *world) send(job *worldJob) {
	got, err := w.service.Submit(context.Background(), account, job.key, Request{Input: strings.NewReader(job.input)})
	if err != nil {
		return
	}
	if job.id != "" && got.ID != job.id {
		w.fault("resend of job %s is %s", job.id, got.ID)
	}
	job.id = got.ID
}

func (w *world) cancel(job *worldJob) {
	if job.id == "" {
		return
	}
	got, err := w.service.Cancel(context.Background(), account, job.id)
	if err != nil || job.cancelled || got.State != StateCancelled {
		return
	}
	var ok bool
	if job.seen, ok = w.results(job); ok {
		job.cancelled = true
	}
}

func (w *world) results(job *worldJob) ([]ResultLine, bool) {
	if _, err := w.service.Status(context.Background(), account, job.id); err != nil {
		return nil, false
	}
	return results(w.t, w.service, job.id), true
}

// read checks that committed results stay as they were.
func (w *world) read(job *worldJob) {
	if job.id == "" {
		return
	}
	now, ok := w.results(job)
	if !ok {
		return
	}
	switch {
	case job.cancelled && !cmp.Equal(now, job.seen, cmpopts.EquateEmpty()):
		w.fault("job %s: %d results after its cancellation, %d at it", job.id, len(now), len(job.seen))
	case !job.cancelled && w.open(job) && (len(now) < len(job.seen) || !cmp.Equal(now[:len(job.seen)], job.seen, cmpopts.EquateEmpty())):
		w.fault("job %s: committed results changed", job.id)
	}
	job.seen = now
}

// open reports whether the job is known not to be cancelled; a cancellation
// whose answer was lost also shows results behind a gap.
func (w *world) open(job *worldJob) bool {
	now, err := w.service.Status(context.Background(), account, job.id)
	return err == nil && now.State != StateCancelled
}

// finish heals everything, lets open jobs end and checks them.
func (w *world) finish() {
	w.store.Faults().SetDown(false)
	w.store.Faults().LoseAnswers(0)
	for _, i := range w.instances {
		w.thaw(i)
	}
	w.start()
	for _, job := range w.jobs {
		w.send(job)
		waitFor(w.t, "job ended", func() bool {
			now, err := w.service.Status(context.Background(), account, job.id)
			return err == nil && now.State != StateOpen
		})
	}
	time.Sleep(time.Hour)
	for _, job := range w.jobs {
		w.read(job)
		w.check(job)
	}
	for _, i := range w.instances {
		i.stop()
	}
}

// check checks that each item has one result, unless the job is cancelled, and
// that calls that may run once did.
func (w *world) check(job *worldJob) {
	now, err := w.service.Status(context.Background(), account, job.id)
	if err != nil {
		w.fault("job %s: %v", job.id, err)
		return
	}
	seen := map[string]int{}
	for _, l := range job.seen {
		seen[l.CustomID]++
	}
	for i := range job.items {
		n := seen[fmt.Sprintf("item-%d", i)]
		if n > 1 || n == 0 && now.State == StateFinished {
			w.fault("job %s: item %d has %d results", job.id, i, n)
		}
		if runs := w.executor.count(resultID(job.id, i)); runs > 1 && strings.Contains(job.input, "/s/pickup/") {
			w.fault("job %s: item %d ran %d times at a service that may run once", job.id, i, runs)
		}
	}
	if now.Counts.Finished() != len(job.seen) {
		w.fault("job %s: counts %+v with %d results", job.id, now.Counts, len(job.seen))
	}
}

// runHistory runs the steps and returns what was wrong.
func runHistory(t *testing.T, steps []step, naive bool) (faults []string) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		w := &world{t: t, store: store, service: newTestService(t, store), claims: newClaims(), naive: naive}
		w.executor = newExecutor(w.run)
		w.start()
		w.start()
		for _, s := range steps {
			w.do(s)
		}
		w.finish()
		faults = w.faults
	})
	return faults
}

func TestEachItemCompletesOnceInRandomHistories(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		if faults := runHistory(t, drawSteps(rt), false); len(faults) > 0 {
			rt.Fatal(strings.Join(faults, "\n"))
		}
	})
}

// A history of the kind above in which commits without conditions fail.
func TestHistoryCatchesCommitsWithoutConditions(t *testing.T) {
	steps := []step{
		{Do: actSubmit, Pick: 1, Size: 3},
		{Do: actAdvance, Size: 1},
		{Do: actFreeze, Pick: 0},
		{Do: actFreeze, Pick: 1},
		{Do: actAdvance, Size: 4},
		{Do: actCancel},
		{Do: actThaw, Pick: 0},
		{Do: actThaw, Pick: 1},
		{Do: actRead},
	}
	if faults := runHistory(t, steps, true); len(faults) == 0 {
		t.Error("commits without conditions went unnoticed")
	}
	if faults := runHistory(t, steps, false); len(faults) > 0 {
		t.Error(strings.Join(faults, "\n"))
	}
}
