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

// action is the kind of a step in a random history.
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

// step is one step of a history. Pick selects the job or instance; Size is the
// size of a job, the duration of an advance or the number of lost responses.
type step struct {
	Do   action
	Pick int
	Size int
}

// drawSteps draws the steps of a history. Time advances in about a fifth of them.
func drawSteps(rt *rapid.T) []step {
	drawStep := rapid.Custom(func(rt *rapid.T) step {
		return step{
			Do: rapid.SampledFrom([]action{
				actSubmit, actResend, actCancel, actRead, actAdvance, actAdvance, actAdvance,
				actCrash, actFreeze, actThaw, actLose, actDown, actUp, actStop,
			}).Draw(rt, "do"),
			Pick: rapid.IntRange(0, 7).Draw(rt, "pick"),
			Size: rapid.IntRange(0, 7).Draw(rt, "size"),
		}
	})
	return rapid.SliceOfN(drawStep, 5, 40).Draw(rt, "steps")
}

// simulation is the state of one history. With unconditional, commits are made
// without conditions.
type simulation struct {
	t             *testing.T
	store         *memory.Store
	service       *Service
	claims        *fakeClaims
	executor      *fakeExecutor
	unconditional bool

	instances        []*simInstance
	instancesStarted int
	jobs             []*simJob
	violations       []string
}

// simInstance is an instance with its own faults of the store.
type simInstance struct {
	*testRunner
	faultStore *faultStore
}

// simJob is a submitted job. id is "" until a submission has succeeded.
type simJob struct {
	key         string
	input       string
	items       int
	id          string
	cancelled   bool
	lastResults []ResultLine
}

func (sim *simulation) reportViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// run answers an item after 0 to 19 s. One item in 16 fails on its first run.
func (sim *simulation) run(ctx context.Context, id string) (string, error) {
	h := fnv.New32a()
	h.Write([]byte(id))
	n := h.Sum32()
	if err := sleep(ctx, time.Duration(n%20)*time.Second); err != nil {
		return "", err
	}
	if n%16 == 0 && sim.executor.count(id) == 1 {
		return "", code.New(code.UpstreamFailed, "injected failure")
	}
	return fmt.Sprintf("run %d", sim.executor.count(id)), nil
}

// sleep waits for d or until ctx ends. It creates no timer of duration 0: under the
// race detector, a synctest bubble that receives from expired timers on two
// threads at once crashes in Go 1.26.8, since the bubble has only one race context
// for its timers.
func sleep(ctx context.Context, d time.Duration) error {
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

// start starts an instance. Its commits block while it is frozen.
func (sim *simulation) start() {
	sim.instancesStarted++
	i := &simInstance{faultStore: newFaultStore(sim.store)}
	i.faultStore.setWriteHook(func(_ int, tx *storage.Transaction) fault {
		if commits(tx) {
			i.faultStore.waitThawed()
		}
		if sim.unconditional && tx != nil {
			withoutConditions(tx)
		}
		return noFault
	})
	i.testRunner = startRunner(sim.t, RunnerOptions{
		Store: i.faultStore, Executor: sim.executor, Claims: sim.claims, View: newView(fmt.Sprintf("i%d", sim.instancesStarted)),
	})
	sim.instances = append(sim.instances, i)
	sim.updateViews()
}

// updateViews sets the view of every instance to itself and the instances that are
// neither crashed nor frozen.
func (sim *simulation) updateViews() {
	var live []string
	for _, i := range sim.instances {
		if i.faultStore.downError() == nil && !i.faultStore.isFrozen() {
			live = append(live, i.view.Self())
		}
	}
	for _, i := range sim.instances {
		i.view.set(append([]string{i.view.Self()}, live...)...)
	}
}

func (sim *simulation) instance(s step) *simInstance { return sim.instances[s.Pick%len(sim.instances)] }

func (sim *simulation) job(s step) *simJob {
	if len(sim.jobs) == 0 {
		return nil
	}
	return sim.jobs[s.Pick%len(sim.jobs)]
}

func (sim *simulation) do(s step) {
	job := sim.job(s)
	switch s.Do {
	case actSubmit:
		sim.submit(s)
	case actResend:
		if job != nil {
			sim.send(job)
		}
	case actCancel:
		if job != nil {
			sim.cancel(job)
		}
	case actRead:
		if job != nil {
			sim.read(job)
		}
	case actAdvance:
		time.Sleep(time.Duration(1+s.Size*s.Size*s.Size) * 2 * time.Second)
	case actCrash:
		sim.instance(s).faultStore.setDown(true)
		sim.start()
	case actFreeze:
		sim.instance(s).faultStore.freeze()
		sim.updateViews()
	case actThaw:
		sim.thaw(sim.instance(s))
	case actLose:
		sim.store.Faults().LoseResponses(s.Size)
	case actDown, actUp:
		sim.store.Faults().SetDown(s.Do == actDown)
	case actStop:
		i := sim.instance(s)
		sim.thaw(i)
		i.stop()
		sim.start()
	}
	synctest.Wait()
}

func (sim *simulation) thaw(i *simInstance) {
	i.faultStore.thaw()
	synctest.Wait()
	sim.updateViews()
}

func (sim *simulation) submit(s step) {
	n := []int{1, 30, 30, 100, 100, 100, 600, 1100}[s.Size]
	lines := chatLines(n)
	if s.Pick%2 == 0 {
		lines = plainLines("pickup", n)
	}
	job := &simJob{key: fmt.Sprint(len(sim.jobs)), input: lines, items: n}
	sim.jobs = append(sim.jobs, job)
	sim.send(job)
}

// send submits a job for the first time or again.
func (sim *simulation) send(job *simJob) {
	got, err := sim.service.Submit(context.Background(), account, job.key, Request{Input: strings.NewReader(job.input)})
	if err != nil {
		return
	}
	if job.id != "" && got.ID != job.id {
		sim.reportViolation("resend of job %s is %s", job.id, got.ID)
	}
	job.id = got.ID
}

func (sim *simulation) cancel(job *simJob) {
	if job.id == "" {
		return
	}
	got, err := sim.service.Cancel(context.Background(), account, job.id)
	if err != nil || job.cancelled || got.State != StateCancelled {
		return
	}
	var ok bool
	if job.lastResults, ok = sim.results(job); ok {
		job.cancelled = true
	}
}

func (sim *simulation) results(job *simJob) ([]ResultLine, bool) {
	if _, err := sim.service.Status(context.Background(), account, job.id); err != nil {
		return nil, false
	}
	return results(sim.t, sim.service, job.id), true
}

// read reads the results of a job and checks that earlier ones have not changed.
func (sim *simulation) read(job *simJob) {
	if job.id == "" {
		return
	}
	current, ok := sim.results(job)
	if !ok {
		return
	}
	switch {
	case job.cancelled && !cmp.Equal(current, job.lastResults, cmpopts.EquateEmpty()):
		sim.reportViolation("job %s: %d results after its cancellation, %d at it", job.id, len(current), len(job.lastResults))
	case !job.cancelled && sim.open(job) && (len(current) < len(job.lastResults) || !cmp.Equal(current[:len(job.lastResults)], job.lastResults, cmpopts.EquateEmpty())):
		sim.reportViolation("job %s: committed results changed", job.id)
	}
	job.lastResults = current
}

// open reports whether the job is known not to be cancelled. Results of a cancelled
// job include those after a gap, also if the response to the cancellation was
// lost, and are therefore not compared.
func (sim *simulation) open(job *simJob) bool {
	current, err := sim.service.Status(context.Background(), account, job.id)
	return err == nil && current.State != StateCancelled
}

// finish ends all faults, waits until all jobs have ended and checks them.
func (sim *simulation) finish() {
	sim.store.Faults().SetDown(false)
	sim.store.Faults().LoseResponses(0)
	for _, i := range sim.instances {
		sim.thaw(i)
	}
	sim.start()
	for _, job := range sim.jobs {
		sim.send(job)
		waitFor(sim.t, "job ended", func() bool {
			current, err := sim.service.Status(context.Background(), account, job.id)
			return err == nil && current.State != StateOpen
		})
	}
	time.Sleep(time.Hour)
	for _, job := range sim.jobs {
		sim.read(job)
		sim.check(job)
	}
	for _, i := range sim.instances {
		i.stop()
	}
}

// check checks that each item has one result, or at most one if the job is
// cancelled, and that no call that may run at most once ran twice.
func (sim *simulation) check(job *simJob) {
	current, err := sim.service.Status(context.Background(), account, job.id)
	if err != nil {
		sim.reportViolation("job %s: %v", job.id, err)
		return
	}
	resultCount := map[string]int{}
	for _, l := range job.lastResults {
		resultCount[l.CustomID]++
	}
	for i := range job.items {
		n := resultCount[fmt.Sprintf("item-%d", i)]
		if n > 1 || n == 0 && current.State == StateFinished {
			sim.reportViolation("job %s: item %d has %d results", job.id, i, n)
		}
		if runs := sim.executor.count(resultID(job.id, i)); runs > 1 && strings.Contains(job.input, "/s/pickup/") {
			sim.reportViolation("job %s: item %d ran %d times, at most 1 is allowed", job.id, i, runs)
		}
	}
	if current.Counts.Finished() != len(job.lastResults) {
		sim.reportViolation("job %s: counts %+v with %d results", job.id, current.Counts, len(job.lastResults))
	}
}

// runHistory runs the steps and returns the violations.
func runHistory(t *testing.T, steps []step, unconditional bool) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		sim := &simulation{t: t, store: store, service: newTestService(t, store), claims: newClaims(), unconditional: unconditional}
		sim.executor = newExecutor(sim.run)
		sim.start()
		sim.start()
		for _, s := range steps {
			sim.do(s)
		}
		sim.finish()
		violations = sim.violations
	})
	return violations
}

// TestEachItemCompletesOnceInRandomHistories runs random histories of submissions,
// cancellations, crashes, frozen instances and faults of the store.
func TestEachItemCompletesOnceInRandomHistories(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		if violations := runHistory(t, drawSteps(rt), false); len(violations) > 0 {
			rt.Fatal(strings.Join(violations, "\n"))
		}
	})
}

// TestHistoryCatchesCommitsWithoutConditions checks that the histories can detect
// the fault that the conditions of commits prevent: it runs a fixed history in
// which commits without conditions change results after a cancellation.
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
	if violations := runHistory(t, steps, true); len(violations) == 0 {
		t.Error("commits without conditions were not detected")
	}
	if violations := runHistory(t, steps, false); len(violations) > 0 {
		t.Error(strings.Join(violations, "\n"))
	}
}
