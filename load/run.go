package load

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"
)

// Run runs every variant of the experiment in turn, round by round, and returns
// the report. It fails when an action cannot be executed or undone. Progress is
// written to log, one line per run; log may be nil.
func Run(ctx context.Context, e *Experiment, log io.Writer) (*Report, error) {
	if log == nil {
		log = io.Discard
	}
	r := &results{experiment: e, startedAt: time.Now(), rounds: map[string][]*measurement{}}
	for round := range e.Rounds {
		for i := range e.Variants {
			if round+i > 0 && !sleepUntil(ctx, time.Now().Add(e.Settle)) {
				return nil, context.Cause(ctx)
			}
			v := &e.Variants[i]
			m, err := runOnce(ctx, e, v, round, r.startedAt)
			if err != nil {
				return nil, err
			}
			if ctx.Err() != nil {
				return nil, context.Cause(ctx)
			}
			r.rounds[v.Name] = append(r.rounds[v.Name], m)
			fmt.Fprintf(log, "round %d of %d: %s: %s\n", round+1, e.Rounds, v.Name, m.summary())
		}
	}
	return r.report(), nil
}

// runOnce runs one variant for one round.
func runOnce(ctx context.Context, e *Experiment, v *Variant, round int, startedAt time.Time) (*measurement, error) {
	deployment := e.Deployments[v.Deployment]
	m := newMeasurement()
	m.windowSeconds = e.Duration.Seconds()
	// All variants of a round have the same seed and therefore the same
	// arrivals.
	seed := e.Seed + uint64(round)
	runID := fmt.Sprintf("%s-%s-%d", strconv.FormatInt(startedAt.UnixMilli(), 36), v.Name, round)

	var mixes []*OnlineMix
	var lists [][]arrival
	for _, name := range v.Online {
		mix := e.online(name)
		mixes = append(mixes, mix)
		lists = append(lists, mix.schedule(seed, v.RateFactor, e.Warmup, e.Duration))
		m.online[name] = newRecorder(mix)
	}
	callers := newCallerPool(deployment, mixes, runID)
	defer callers.close()
	d := &driver{
		sender:  callers,
		maxOpen: int64(e.MaxOpen),
		drain:   e.Drain,
		record:  func(a *arrival, o outcome) { m.online[a.mix.Name].add(a, o) },
	}

	start := time.Now().Add(e.Warmup)
	var background sync.WaitGroup
	var actionErr error
	background.Go(func() {
		actionErr = runActions(ctx, &httpExecutor{deployment, callers.client}, v.actions(e), start, e.Duration)
	})
	background.Go(func() {
		w := &watcher{deployment, callers.client}
		m.system = w.watch(ctx, start, e.Duration, d.open.Load)
	})
	for _, name := range v.Batch {
		record := newBatchRecord(e.batch(name))
		m.batch[name] = record
		j := &jobRunner{
			user:   &virtualUser{client: callers.client, key: record.mix.Key, seeds: deployment.Instances, dataCentre: deployment.DataCentre},
			record: record,
			seed:   seed,
			runID:  runID,
		}
		background.Go(func() { j.run(ctx, start, e.Warmup, e.Duration) })
	}
	d.run(ctx, start, e.Duration, merge(lists...))
	background.Wait()
	return m, actionErr
}

func (v *Variant) actions(e *Experiment) []*Action {
	var list []*Action
	for _, name := range v.Actions {
		list = append(list, e.action(name))
	}
	return list
}
