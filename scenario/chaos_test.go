package scenario

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/config"
)

// fault is something that goes wrong and is mended again.
type fault struct {
	name   string
	strike func() error
	mend   func() error
}

// hold is how long two faults last together.
const hold = 3 * time.Second

// chaos SEED ROUNDS N strikes N instances and the platform with two faults at
// once, drawn from the seed, round after round. Between the rounds all are
// mended. In each round operators change the preset while the faults last.
func (w *world) chaos(ts *testscript.TestScript, args []string) error {
	seed, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return err
	}
	rounds, n, err := twoNumbers(args[1], args[2])
	if err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(seed, seed))
	accepted := uint64(0)
	for round := range rounds {
		faults := w.faults(ts, n)
		random.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
		pair := faults[:2]
		ts.Logf("round %d: %s and %s", round, pair[0].name, pair[1].name)
		for _, f := range pair {
			if err := f.strike(); err != nil {
				return fmt.Errorf("%s: %w", f.name, err)
			}
		}
		accepted = max(accepted, w.switchPreset(random, round, n))
		time.Sleep(hold)
		for _, f := range pair {
			if err := f.mend(); err != nil {
				return fmt.Errorf("mending %s: %w", f.name, err)
			}
		}
		if err := w.agreed(n, accepted); err != nil {
			return fmt.Errorf("round %d: %w", round, err)
		}
	}
	if accepted == 0 {
		return errors.New("no change was accepted in any round")
	}
	ts.Logf("accepted up to version %d", accepted)
	return nil
}

// faults lists what can go wrong in a round.
func (w *world) faults(ts *testscript.TestScript, n int) []fault {
	var list []fault
	for i := 1; i <= n; i++ {
		name := fmt.Sprintf("instance-%d", i)
		list = append(list, fault{
			name:   "kill " + name,
			strike: func() error { return w.signalAndWait(ts, name) },
			mend:   func() error { return w.start(ts, []string{name, "daisylbd", "-settings", name + ".jsonc"}) },
		}, fault{
			name:   "freeze " + name,
			strike: func() error { return w.signalIfRunning(ts, name, "STOP") },
			mend:   func() error { return w.signalIfRunning(ts, name, "CONT") },
		})
	}
	return append(list,
		fault{"platform down", func() error { return w.setFaults(ts, `{"down":true}`) }, func() error { return w.setFaults(ts, `{}`) }},
		fault{"answers lost", func() error { return w.setFaults(ts, `{"lose_next":5}`) }, func() error { return w.setFaults(ts, `{}`) }},
	)
}

func (w *world) signalAndWait(ts *testscript.TestScript, name string) error {
	if err := w.signalIfRunning(ts, name, "KILL"); err != nil {
		return err
	}
	return w.await(ts, []string{name})
}

// signalIfRunning does nothing to a process that another fault has ended.
func (w *world) signalIfRunning(ts *testscript.TestScript, name, signal string) error {
	select {
	case <-w.processes[name].ended:
		return nil
	default:
		return w.signal(ts, []string{name, signal})
	}
}

func (w *world) setFaults(ts *testscript.TestScript, faults string) error {
	out, err := w.http(ts, []string{"PUT", fmt.Sprintf("http://%s:%d/admin/faults", w.ip, platformPort), "", faults})
	if err == nil && !strings.HasPrefix(out, "200") {
		err = errors.New(out)
	}
	return err
}

func (w *world) operator(i int, timeout time.Duration) *config.Client {
	return config.NewClient(fmt.Sprintf("%s:%d", w.ip, operatorPort+i), operatorKey, &http.Client{Timeout: timeout})
}

// switchPreset has an operator at a drawn instance change the preset, and
// returns the version when the change was accepted.
func (w *world) switchPreset(random *rand.Rand, round, n int) uint64 {
	operator := w.operator(1+random.IntN(n), hold)
	ctx, cancel := context.WithTimeout(context.Background(), hold)
	defer cancel()
	present, err := operator.Document(ctx)
	if err != nil {
		return 0
	}
	name := "peak"
	if present.Preset == name {
		name = "ordinary"
	}
	a, err := operator.SwitchPreset(ctx, config.SwitchRequest{ID: fmt.Sprintf("round-%d", round), BaseVersion: present.Version, Preset: name})
	if err != nil {
		return 0
	}
	return a.Version
}

// agreed waits until every instance has the same version, which is no lower
// than every accepted one.
func (w *world) agreed(n int, accepted uint64) error {
	versions := make([]uint64, n)
	var failure error
	for end := time.Now().Add(limit()); time.Now().Before(end); time.Sleep(pollInterval) {
		failure = nil
		for i := range versions {
			d, err := w.operator(i+1, hold).Document(context.Background())
			if err != nil {
				failure = err
				continue
			}
			versions[i] = d.Version
		}
		if failure == nil && slices.Min(versions) == slices.Max(versions) && versions[0] >= accepted {
			return nil
		}
	}
	return fmt.Errorf("versions %v, accepted %d: %w", versions, accepted, code.From(failure))
}
