// Command soak runs real daemons against stand-ins, injects faults drawn from a
// seed, and checks what callers and workers observed.
package main

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/daisylb/daisylb/soak"
)

func main() { os.Exit(run()) }

func run() int {
	o := soak.Options{Out: os.Stdout}
	flag.Uint64Var(&o.Seed, "seed", 1, "draws the plan of faults")
	seeds := flag.Int("seeds", 1, "number of soaks, with this seed and those after it")
	file := flag.String("file", "", "file with the plans to play instead, each line a seed and a time, followed by /workers for plans as with -only-workers or by /2x3 for numbers of daemons and workers")
	flag.DurationVar(&o.FaultPeriod, "for", 20*time.Second, "time in which faults are injected")
	flag.IntVar(&o.Instances, "instances", 4, "number of daemons")
	flag.IntVar(&o.Workers, "workers", 4, "number of workers")
	flag.IntVar(&o.Callers, "people", 12, "online callers at a time")
	flag.BoolVar(&o.OnlyWorkers, "only-workers", false, "disturb workers only, beside reloads and changed documents")
	flag.StringVar(&o.Program, "daemon", "", "the daemon; empty builds ./cmd/daisylbd")
	parallel := flag.Int("parallel", 1, "number of soaks at a time, at most 3")
	quiet := flag.Bool("quiet", false, "print no faults unless something is wrong")
	keep := flag.Bool("keep", false, "keep the settings and logs of the daemons and print where")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if *keep {
		fmt.Println("logs in", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	if o.Program == "" {
		o.Program = filepath.Join(dir, "daisylbd")
		if out, err := exec.CommandContext(ctx, "go", "build", "-o", o.Program, "./cmd/daisylbd").CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "the daemon can't be built: %v\n%s", err, out)
			return 1
		}
	}
	if *quiet {
		o.Out = io.Discard
	}
	list, err := loadPlans(*file, o, *seeds)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if !runAll(ctx, o, list, min(*parallel, maxParallel), dir) {
		return 1
	}
	return 0
}

const maxParallel = 3

// runAll runs the soaks of a list, several at a time. It reports whether all ended without
// violations.
func runAll(ctx context.Context, o soak.Options, list []plan, parallel int, dir string) bool {
	var failed atomic.Bool
	var running sync.WaitGroup
	next := make(chan plan)
	for slot := range parallel {
		running.Go(func() {
			for p := range next {
				if !runSoak(ctx, p.options(o, slot), dir) {
					failed.Store(true)
				}
			}
		})
	}
	for _, p := range list {
		if ctx.Err() != nil {
			break
		}
		next <- p
	}
	close(next)
	running.Wait()
	return !failed.Load()
}

// plan identifies a plan of faults: the same seed, duration and kind draw the same
// faults. Instances and upstreams are numbers of daemons and workers, 0 for those of the
// command line.
type plan struct {
	seed                 uint64
	duration             time.Duration
	onlyWorkers          bool
	instances, upstreams int
}

// options returns the options of a soak with this plan.
func (p plan) options(o soak.Options, slot int) soak.Options {
	o.Seed, o.FaultPeriod, o.OnlyWorkers, o.Slot = p.seed, p.duration, o.OnlyWorkers || p.onlyWorkers, slot
	o.Instances, o.Workers = cmp.Or(p.instances, o.Instances), cmp.Or(p.upstreams, o.Workers)
	return o
}

// parsePlan parses a plan such as "7 20s", "7 20s/workers" with only workers disturbed, or
// "7 20s/2x3" with two daemons and three workers.
func parsePlan(seed, length string) (plan, error) {
	var p plan
	kinds := strings.Split(length, "/")
	var seedErr, durationErr, kindErr error
	p.seed, seedErr = strconv.ParseUint(seed, 10, 64)
	p.duration, durationErr = time.ParseDuration(kinds[0])
	for _, kind := range kinds[1:] {
		if kind == "workers" {
			p.onlyWorkers = true
			continue
		}
		_, err := fmt.Sscanf(kind, "%dx%d", &p.instances, &p.upstreams)
		kindErr = errors.Join(kindErr, err)
	}
	return p, errors.Join(seedErr, durationErr, kindErr)
}

// loadPlans returns the plans listed in the file at path. Without a path it returns
// n plans with consecutive seeds, the first of which is o.Seed.
func loadPlans(path string, o soak.Options, n int) ([]plan, error) {
	var list []plan
	if path == "" {
		for k := range uint64(n) {
			list = append(list, plan{seed: o.Seed + k, duration: o.FaultPeriod})
		}
		return list, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for number, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(line, "#") {
			continue
		}
		if len(fields) < 2 {
			return nil, fmt.Errorf("%s:%d: no time after the seed", path, number+1)
		}
		p, err := parsePlan(fields[0], fields[1])
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, number+1, err)
		}
		list = append(list, p)
	}
	return list, nil
}

// output keeps the lines of a result together.
var output sync.Mutex

// runSoak runs one soak in a directory of its own under dir, prints its result and
// reports whether it ended without violations.
func runSoak(ctx context.Context, o soak.Options, dir string) bool {
	o.Dir = filepath.Join(dir, fmt.Sprintf("%d-%v-%d", o.Seed, o.FaultPeriod, o.Slot))
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	r, err := soak.Run(ctx, o)
	if err != nil {
		fmt.Fprintf(os.Stderr, "seed %d: %v\n", o.Seed, err)
		return false
	}
	output.Lock()
	defer output.Unlock()
	fmt.Printf("seed %d: %d faults, %d requests, %d served whole, %d jobs, %d items, %d runs, %d denied, %d cut, %d late items, %d stalls, %d violations\n",
		o.Seed, len(r.Plan), r.Attempts, r.Served, r.Jobs, r.Items, r.Runs, r.Denied, r.Cut, r.Late, r.Stalls, len(r.Violations))
	if len(r.Violations) == 0 {
		return true
	}
	for _, f := range r.Plan {
		fmt.Println("  fault", f)
	}
	for _, v := range r.Violations {
		fmt.Println("  VIOLATION", v)
		for _, line := range r.LogLines[v.ID] {
			fmt.Println("    ", line)
		}
	}
	return false
}
