package job_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/job"
	"github.com/daisylb/daisylb/storage/memory"
)

// history is a random history of a fleet: jobs are submitted and ended while machines are
// killed, restarted, frozen and cut off, and while the store loses answers.
type history struct {
	t     *testing.T
	store *memory.Rows
	route contract.Route
	// late has the writes that have not taken effect yet.
	late sync.WaitGroup

	mu       sync.Mutex
	random   *rand.Rand
	machines []*machine
	load
	// lossShare is the share of writes whose answer is lost.
	lossShare                float64
	storeDown, upstreamsDown bool
	// accepted has the items of the accepted jobs. ended has the jobs of which a caller
	// has asked the end, refused those that each attempt was told not to run.
	accepted map[string][]string
	ended    map[string]bool
	refused  []string
	// endKnown has the jobs whose end was confirmed.
	endKnown map[string]bool
	// storeDisturbedAt is the last time at which the store failed or lost answers.
	storeDisturbedAt time.Time
	// listed has, by job, the results that callers have read, by position.
	listed map[string]map[int]listing
}

// load is what the callers and the processes of a history have.
type load struct {
	// quota is that of the route, 0 if there is none. maxBytes is the memory for the items of
	// each process; 0 means without limit.
	quota, maxBytes int64
	// pause is the longest time between two jobs, items the largest number of their items.
	pause time.Duration
	items int
	// machines is the number of machines.
	machines int
}

// listing is a result that a caller has read first at a time.
type listing struct {
	result job.Result
	readAt time.Time
}

const (
	historyMachines = 5
	historyTime     = 30 * time.Second
	// finishTime is the time without faults after which all jobs must be complete.
	finishTime = 18 * time.Second
	// calmTime is the time after a fault from which a machine must know of changes within
	// settleTime.
	calmTime   = 3 * time.Second
	settleTime = time.Second
)

// locked returns the result of f, which it calls with the lock held.
func (h *history) locked(f func() bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return f()
}

// machine returns the machine with a name. The lock is held.
func (h *history) machine(name string) *machine {
	for _, m := range h.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

// number returns a random number below n.
func (h *history) number(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

// between returns a random time.
func (h *history) between(a, b time.Duration) time.Duration {
	return a + time.Duration(h.number(int(b-a)))
}

func (h *history) pause(a, b time.Duration) { time.Sleep(h.between(a, b)) }

// during sets a state for a random time.
func (h *history) during(longest time.Duration, set func(on bool)) {
	for _, on := range []bool{true, false} {
		h.mu.Lock()
		set(on)
		h.mu.Unlock()
		if on {
			h.pause(longest/10, longest)
		}
	}
}

// reachable returns the service of a machine that callers reach, or nil.
func (h *history) reachable() *job.Service {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.machines[h.random.IntN(len(h.machines))]
	if !m.endedAt.IsZero() || m.cut {
		return nil
	}
	return m.service
}

// disturb lets one machine, the store or the upstreams fail for a while.
func (h *history) disturb() {
	m := h.machines[h.number(len(h.machines))]
	switch kind := h.number(11); kind {
	case 0, 1, 2, 3:
		if h.locked(func() bool { before := m.disturbed; m.disturbed = true; return before }) {
			return
		}
		h.disturbMachine(m, kind)
		h.locked(func() bool { m.disturbed, m.disturbedAt = false, time.Now(); return false })
	case 4, 5:
		h.during(4*time.Second, func(on bool) {
			h.lossShare, h.storeDisturbedAt = 0, time.Now()
			if on {
				h.lossShare = 0.5
			}
		})
	case 6:
		h.during(4*time.Second, func(on bool) { h.storeDown, h.storeDisturbedAt = on, time.Now() })
	case 7:
		h.during(4*time.Second, func(on bool) { h.upstreamsDown = on })
	case 9, 10:
		h.during(6*time.Second, func(on bool) { m.refused = on })
	case 8:
		other := h.machines[h.number(len(h.machines))]
		h.during(5*time.Second, func(on bool) { m.hidden[other] = on })
	}
}

// disturbMachine ends a process and starts another one, or cuts the machine off.
func (h *history) disturbMachine(m *machine, kind int) {
	switch kind {
	case 0, 1:
		m.end(kind == 0)
		h.pause(100*time.Millisecond, 5*time.Second)
		m.start()
	case 2, 3:
		h.during(7*time.Second, func(on bool) { m.cut, m.cutAt, m.frozen = on, time.Now(), on && kind == 3 })
	}
}

// decodeItems decodes the body of a submission of the tests.
func decodeItems(raw []byte) ([]job.Item, error) { return items(strings.Fields(string(raw))...), nil }

// submit submits a job until it is accepted, as a caller does.
func (h *history) submit(id string, names []string) {
	sub := job.Submission{ID: id, Route: &h.route, Items: items(names...), Raw: []byte(strings.Join(names, " "))}
	const attempts = 6
	refused := true
	for range attempts {
		if s := h.reachable(); s != nil {
			stored := h.isStored(id)
			err := s.Submit(context.Background(), sub)
			if stored && code.Of(err) == code.QuotaExceeded {
				h.t.Errorf("repeat of stored job %s whose acceptance was not known: %v", id, err)
			}
			if err == nil {
				h.locked(func() bool { h.accepted[id] = names; return true })
				h.useAccepted(sub)
				return
			}
			refused = refused && code.From(err).Outcome == code.NotRun
		}
		h.pause(100*time.Millisecond, time.Second)
	}
	if refused {
		h.locked(func() bool { h.refused = append(h.refused, id); return true })
	}
}

// isStored reports whether the store has the head of a job.
func (h *history) isStored(id string) bool {
	_, ok := readStoredHead(h.t, h.store, id)
	return ok
}

// useAccepted may end a job that was accepted, and then uses it as other callers do.
func (h *history) useAccepted(sub job.Submission) {
	if h.number(8) == 0 {
		h.pause(0, time.Duration(h.number(2))*5*time.Second+1)
		h.end(sub.ID)
	}
	h.pause(time.Second, 8*time.Second)
	h.use(sub)
	for range 8 {
		h.pause(100*time.Millisecond, 1500*time.Millisecond)
		h.readAgain(sub.ID)
	}
}

// end asks for the end of a job.
func (h *history) end(id string) {
	if s := h.reachable(); s != nil {
		h.locked(func() bool { h.ended[id] = true; return true })
		err := s.End(context.Background(), id)
		if code.Of(err) == code.JobUnknown {
			h.t.Errorf("end of accepted job %s: %v", id, err)
		}
		h.locked(func() bool { h.endKnown[id] = h.endKnown[id] || err == nil; return true })
	}
}

// use submits an accepted job again, and reads its results and the body of an item.
func (h *history) use(sub job.Submission) {
	s := h.reachable()
	if s == nil {
		return
	}
	if err := s.Submit(context.Background(), sub); code.Of(err) == code.QuotaExceeded {
		h.t.Errorf("repeat of accepted job %s: %v", sub.ID, err)
	}
	if _, _, err := s.Results(context.Background(), sub.ID, 0, 0); code.Of(err) == code.JobUnknown {
		h.t.Errorf("results of accepted job %s: %v", sub.ID, err)
	}
	_, err := s.Body(context.Background(), sub.ID, sub.Items[0].ID)
	if code.Of(err) == code.JobUnknown && !h.locked(func() bool { return h.ended[sub.ID] }) {
		h.t.Errorf("body of an item of accepted job %s: %v", sub.ID, err)
	}
}

// readAgain reads the results of an accepted job at a machine, from a position up to the
// first that no caller has read. What callers have read must come again.
func (h *history) readAgain(id string) {
	h.mu.Lock()
	m := h.machines[h.random.IntN(len(h.machines))]
	service, process, known := m.service, m.process, len(h.listed[id])
	position := h.random.IntN(known + 1)
	before, wasRead := h.listed[id][position]
	settled := wasRead && time.Since(before.readAt) > settleTime && h.isCalm(m)
	reached := m.endedAt.IsZero() && !m.cut
	h.mu.Unlock()
	if !reached {
		return
	}
	_, results, err := service.Results(context.Background(), id, position, 0)
	h.mu.Lock()
	defer h.mu.Unlock()
	if code.Of(err) == code.JobUnknown || err == nil && len(results) == 0 && settled && h.isCalm(m) {
		h.t.Errorf("job %s at %s: nothing at position %d, which was read, %v", id, process, position, err)
	}
	if h.listed[id] == nil {
		h.listed[id] = map[int]listing{}
	}
	for i, r := range results {
		first, ok := h.listed[id][position+i]
		if ok && first.result != r {
			h.t.Errorf("job %s at %s: position %d holds item %s, had %s", id, process, position+i, r.Item, first.result.Item)
		}
		if !ok {
			h.listed[id][position+i] = listing{r, time.Now()}
		}
	}
}

// isCalm reports whether neither a machine nor the store has failed for calmTime. A machine
// that the store refuses counts as calm, since it can use others. The lock is held.
func (h *history) isCalm(m *machine) bool {
	machineCalm := !m.disturbed && time.Since(m.disturbedAt) > calmTime
	return machineCalm && !h.storeDown && h.lossShare == 0 && time.Since(h.storeDisturbedAt) > calmTime
}

// run runs the history until all jobs should be complete.
func (h *history) run() {
	var wait sync.WaitGroup
	begin := time.Now()
	wait.Go(func() {
		for time.Since(begin) < historyTime-5*time.Second {
			h.pause(100*time.Millisecond, 2*time.Second)
			wait.Go(h.disturb)
		}
	})
	for i := 0; time.Since(begin) < historyTime; i++ {
		h.pause(10*time.Millisecond, h.load.pause)
		id := fmt.Sprintf("j%02d", i)
		var names []string
		for k := range 1 + h.number(h.load.items) {
			names = append(names, fmt.Sprintf("%s-%d", id, k))
		}
		wait.Go(func() { h.submit(id, names) })
	}
	wait.Wait()
	h.late.Wait()
	time.Sleep(finishTime)
}

// check reads all accepted jobs at all machines.
func (h *history) check() {
	for _, id := range h.refused {
		if total, _, err := h.machines[0].service.Results(context.Background(), id, 0, 0); code.Of(err) != code.JobUnknown {
			h.t.Errorf("refused job %s has %d items, %v", id, total, err)
		}
	}
	for id := range h.endKnown {
		if head, _ := readStoredHead(h.t, h.store, id); h.endKnown[id] && !head.Ended && head.Listed < head.Total {
			h.t.Errorf("job %s was ended, and is open", id)
		}
	}
	for id, names := range h.accepted {
		for _, m := range h.machines {
			var all []job.Result
			for more := true; more; {
				total, results, err := m.service.Results(context.Background(), id, len(all), 0)
				if err != nil || total != len(names) {
					h.t.Errorf("job %s at %s: %d items, want %d, %v", id, m.process, total, len(names), err)
				}
				all, more = append(all, results...), len(results) > 0
			}
			if len(all) < len(names) && !h.ended[id] {
				h.t.Errorf("job %s at %s: %d of %d results", id, m.process, len(all), len(names))
			}
			seen := map[string]bool{}
			for _, r := range all {
				if seen[r.Item] || !r.Succeeded || r.Text != textOf(r.Item) {
					h.t.Errorf("job %s at %s: item %s: listed before %v, succeeded %v, %d bytes", id, m.process, r.Item, seen[r.Item], r.Succeeded, len(r.Text))
				}
				seen[r.Item] = true
			}
		}
	}
}

func TestAcceptedJobsAreListedInRandomHistories(t *testing.T) {
	const histories = 6
	for seed := range uint64(histories) {
		quota := []int64{0, 4000, 100000}[seed%3]
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			playHistory(t, seed, load{machines: historyMachines, quota: quota, pause: 1500 * time.Millisecond, items: 15})
		})
	}
}

// TestJobsWithoutRoomAreListedInRandomHistories has processes whose memory holds a job and a
// running item, so that jobs and items wait.
func TestJobsWithoutRoomAreListedInRandomHistories(t *testing.T) {
	const histories = 6
	for seed := range uint64(histories) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			playHistory(t, seed, load{machines: historyMachines, maxBytes: oneJob, pause: 8 * time.Second, items: 4})
		})
	}
}

// TestOneMachineListsItsJobsInRandomHistories has no other machine that would run what the only
// one does not.
func TestOneMachineListsItsJobsInRandomHistories(t *testing.T) {
	const histories = 6
	for seed := range uint64(histories) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			playHistory(t, seed, load{machines: 1, maxBytes: oneJob, pause: 5 * time.Second, items: 1})
		})
	}
}

// playHistory plays and checks a history.
func playHistory(t *testing.T, seed uint64, l load) {
	synctest.Test(t, func(t *testing.T) {
		h := &history{t: t, random: rand.New(rand.NewPCG(seed, seed)), store: memory.NewRows(), load: l, accepted: map[string][]string{}, ended: map[string]bool{}, endKnown: map[string]bool{}, listed: map[string]map[int]listing{}}
		h.route = contract.Route{Host: "h", Prefix: "/lot/", Kind: contract.RouteBatch, MaxAttempts: 3, MaxWaitingTokens: l.quota,
			CompletionWindow: 18 * time.Second, GiveUpAfter: time.Minute, Split: []contract.WeightedService{{Service: "s", Weight: 1}}}
		for i := range l.machines {
			h.machines = append(h.machines, &machine{history: h, name: "m" + strconv.Itoa(i), hidden: map[*machine]bool{}})
		}
		for _, m := range h.machines {
			m.start()
		}
		h.run()
		h.check()
		for _, m := range h.machines {
			m.end(false)
		}
	})
}
