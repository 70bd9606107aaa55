package load

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"
)

// Run runs every variant of the experiment in turn, round by round, and
// returns the report. It fails when an action cannot be done or undone.
// Progress goes to log, one line a run; log may be nil.
func Run(ctx context.Context, e *Experiment, log io.Writer) (*Report, error) {
	if log == nil {
		log = io.Discard
	}
	r := &results{experiment: e, started: time.Now(), rounds: map[string][]*measurement{}}
	for round := range e.Rounds {
		for i := range e.Variants {
			if round+i > 0 && !sleepUntil(ctx, time.Now().Add(e.Settle)) {
				return nil, context.Cause(ctx)
			}
			v := &e.Variants[i]
			m, err := runOnce(ctx, e, v, round, r.started)
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

// runOnce runs one variant once.
func runOnce(ctx context.Context, e *Experiment, v *Variant, round int, started time.Time) (*measurement, error) {
	deployment := e.Deployments[v.Deployment]
	m := newMeasurement()
	m.seconds = e.Duration.Seconds()
	// Variants of one round share the seed, and so their arrivals.
	seed := e.Seed + uint64(round)
	id := fmt.Sprintf("%s-%s-%d", strconv.FormatInt(started.UnixMilli(), 36), v.Name, round)

	var mixes []*OnlineMix
	var lists [][]arrival
	for _, name := range v.Online {
		mix := e.online(name)
		mixes = append(mixes, mix)
		lists = append(lists, mix.schedule(seed, v.RateFactor, e.Warmup, e.Duration))
		m.online[name] = newRecorder(mix)
	}
	callers := newCallers(deployment, mixes, id)
	defer callers.close()
	d := &driver{
		asker:   callers,
		maxOpen: int64(e.MaxOpen),
		drain:   e.Drain,
		record:  func(a *arrival, o outcome) { m.online[a.mix.Name].add(a, o) },
	}

	start := time.Now().Add(e.Warmup)
	var beside sync.WaitGroup
	var failure error
	beside.Go(func() {
		failure = perform(ctx, &httpActor{deployment, callers.calls}, v.actions(e), start, e.Duration)
	})
	beside.Go(func() {
		w := &watcher{deployment, callers.calls}
		m.system = w.watch(ctx, start, e.Duration, d.open.Load)
	})
	for _, name := range v.Batch {
		record := newBatchRecord(e.batch(name))
		m.batch[name] = record
		j := &jobRunner{
			user:   &user{calls: callers.calls, key: record.mix.Key, seeds: deployment.Instances, dataCentre: deployment.DataCentre},
			record: record,
			seed:   seed,
			round:  id,
		}
		beside.Go(func() { j.run(ctx, start, e.Warmup, e.Duration) })
	}
	d.run(ctx, start, e.Duration, merge(lists...))
	beside.Wait()
	return m, failure
}

func (v *Variant) actions(e *Experiment) []*Action {
	var list []*Action
	for _, name := range v.Actions {
		list = append(list, e.action(name))
	}
	return list
}
