// Command soak runs real daemons against stand-ins, injects faults drawn from a
// seed, and checks what callers and workers observed.
package main

import (
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
	"syscall"
	"time"

	"github.com/daisylb/daisylb/soak"
)

func main() { os.Exit(run()) }

func run() int {
	o := soak.Options{Out: os.Stdout}
	flag.Uint64Var(&o.Seed, "seed", 1, "draws the plan of faults")
	seeds := flag.Int("seeds", 1, "number of soaks, with this seed and those after it")
	file := flag.String("file", "", "file with the plans to play instead, each line a seed and a time, followed by /workers for plans as with -only-workers")
	flag.DurationVar(&o.FaultPeriod, "for", 20*time.Second, "time in which faults are injected")
	flag.IntVar(&o.Instances, "instances", 4, "number of daemons")
	flag.IntVar(&o.Workers, "workers", 4, "number of workers")
	flag.IntVar(&o.Callers, "people", 12, "online callers at a time")
	flag.BoolVar(&o.OnlyWorkers, "only-workers", false, "disturb workers only, beside reloads and changed documents")
	flag.StringVar(&o.Program, "daemon", "", "the daemon; empty builds ./cmd/daisylbd")
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
	status := 0
	for _, p := range list {
		o.Seed, o.FaultPeriod, o.OnlyWorkers = p.seed, p.duration, p.workers
		if !runSoak(ctx, o, dir) {
			status = 1
		}
		if ctx.Err() != nil {
			break
		}
	}
	return status
}

// plan identifies a plan of faults: the same seed and duration draw the same
// faults.
type plan struct {
	seed     uint64
	duration time.Duration
	workers  bool
}

// loadPlans returns the plans listed in the file at path. Without a path it returns
// n plans with consecutive seeds, the first of which is o.Seed.
func loadPlans(path string, o soak.Options, n int) ([]plan, error) {
	var list []plan
	if path == "" {
		for k := range uint64(n) {
			list = append(list, plan{o.Seed + k, o.FaultPeriod, o.OnlyWorkers})
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
		seed, seedErr := strconv.ParseUint(fields[0], 10, 64)
		length, workers := strings.CutSuffix(fields[1], "/workers")
		duration, durationErr := time.ParseDuration(length)
		if err := errors.Join(seedErr, durationErr); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, number+1, err)
		}
		list = append(list, plan{seed, duration, workers})
	}
	return list, nil
}

// runSoak runs one soak in a directory of its own under dir, prints its result and
// reports whether it ended without violations.
func runSoak(ctx context.Context, o soak.Options, dir string) bool {
	o.Dir = filepath.Join(dir, fmt.Sprintf("%d-%v-%v", o.Seed, o.FaultPeriod, o.OnlyWorkers))
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	r, err := soak.Run(ctx, o)
	if err != nil {
		fmt.Fprintf(os.Stderr, "seed %d: %v\n", o.Seed, err)
		return false
	}
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
