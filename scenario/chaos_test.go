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

// fault is a failure that can be injected and reverted.
type fault struct {
	name   string
	inject func() error
	revert func() error
}

// faultDuration is how long the two faults of a round last.
const faultDuration = 3 * time.Second

// chaos implements the script command
//
//	chaos SEED ROUNDS N
//
// In each round it injects two faults, drawn from the seed among those of N instances
// and of the platform, and an operator switches the preset during the faults. Then the
// faults are reverted, and all instances must agree on a version that is no lower than
// that of any accepted change.
func (env *environment) chaos(ts *testscript.TestScript, args []string) error {
	seed, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return err
	}
	rounds, n, err := parseInts(args[1], args[2])
	if err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(seed, seed))
	accepted := uint64(0)
	for round := range rounds {
		faults := env.faults(ts, n)
		random.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
		pair := faults[:2]
		ts.Logf("round %d: %s and %s", round, pair[0].name, pair[1].name)
		for _, f := range pair {
			if err := f.inject(); err != nil {
				return fmt.Errorf("%s: %w", f.name, err)
			}
		}
		accepted = max(accepted, env.switchPreset(random, round, n))
		time.Sleep(faultDuration)
		for _, f := range pair {
			if err := f.revert(); err != nil {
				return fmt.Errorf("reverting %s: %w", f.name, err)
			}
		}
		if err := env.waitForAgreement(n, accepted); err != nil {
			return fmt.Errorf("round %d: %w", round, err)
		}
	}
	if accepted == 0 {
		return errors.New("no change was accepted in any round")
	}
	ts.Logf("accepted up to version %d", accepted)
	return nil
}

// faults returns the faults that a round draws from, for n instances.
func (env *environment) faults(ts *testscript.TestScript, n int) []fault {
	var list []fault
	for i := 1; i <= n; i++ {
		name := fmt.Sprintf("instance-%d", i)
		list = append(list, fault{
			name:   "kill " + name,
			inject: func() error { return env.killAndWait(ts, name) },
			revert: func() error { return env.start(ts, []string{name, "daisylbd", "-settings", name + ".jsonc"}) },
		}, fault{
			name:   "freeze " + name,
			inject: func() error { return env.signalIfRunning(ts, name, "STOP") },
			revert: func() error { return env.signalIfRunning(ts, name, "CONT") },
		})
	}
	return append(list,
		fault{"platform down", func() error { return env.setFaults(ts, `{"down":true}`) }, func() error { return env.setFaults(ts, `{}`) }},
		fault{"answers lost", func() error { return env.setFaults(ts, `{"lose_next":5}`) }, func() error { return env.setFaults(ts, `{}`) }},
	)
}

// killAndWait kills a process and waits for its end.
func (env *environment) killAndWait(ts *testscript.TestScript, name string) error {
	if err := env.signalIfRunning(ts, name, "KILL"); err != nil {
		return err
	}
	return env.await(ts, []string{name})
}

// signalIfRunning sends a signal to a process, unless another fault has ended it.
func (env *environment) signalIfRunning(ts *testscript.TestScript, name, signal string) error {
	select {
	case <-env.processes[name].ended:
		return nil
	default:
		return env.signal(ts, []string{name, signal})
	}
}

// setFaults replaces the faults of the platform's stand-in.
func (env *environment) setFaults(ts *testscript.TestScript, faults string) error {
	out, err := env.http(ts, []string{"PUT", fmt.Sprintf("http://%s:%d/admin/faults", env.ip, platformPort), "", faults})
	if err == nil && !strings.HasPrefix(out, "200") {
		err = errors.New(out)
	}
	return err
}

// operator returns a client of the configuration interface of instance i.
func (env *environment) operator(i int, timeout time.Duration) *config.Client {
	return config.NewClient(fmt.Sprintf("%s:%d", env.ip, operatorPort+i), operatorKey, &http.Client{Timeout: timeout})
}

// switchPreset switches the preset at a random instance. It returns the version of the
// accepted change, or 0 when the change failed or its outcome is not known.
func (env *environment) switchPreset(random *rand.Rand, round, n int) uint64 {
	operator := env.operator(1+random.IntN(n), faultDuration)
	ctx, cancel := context.WithTimeout(context.Background(), faultDuration)
	defer cancel()
	current, err := operator.Document(ctx)
	if err != nil {
		return 0
	}
	name := "peak"
	if current.Preset == name {
		name = "ordinary"
	}
	a, err := operator.SwitchPreset(ctx, config.SwitchRequest{ID: fmt.Sprintf("round-%d", round), BaseVersion: current.Version, Preset: name})
	if err != nil {
		return 0
	}
	return a.Version
}

// waitForAgreement waits until all n instances have the same version, and this version
// is at least accepted.
func (env *environment) waitForAgreement(n int, accepted uint64) error {
	versions := make([]uint64, n)
	var failure error
	for deadline := time.Now().Add(waitTimeout()); time.Now().Before(deadline); time.Sleep(pollInterval) {
		failure = nil
		for i := range versions {
			d, err := env.operator(i+1, faultDuration).Document(context.Background())
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
