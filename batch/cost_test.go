package batch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// The load that the system must handle: the items and jobs of a day and the items
// of the largest job. The limits: items per write to the store, and the heap of an
// instance.
const (
	dayItems         = 13_000_000
	dayJobs          = 15_000
	largestJob       = 620_000
	minItemsPerWrite = 50
	maxHeapBytes     = 128 << 20
)

// daySample returns job sizes with the mean of a day's jobs: many small jobs and
// a few large ones.
func daySample() []int {
	sizes := make([]int, 0, 30)
	total := 0
	for range 20 {
		sizes = append(sizes, 40)
		total += 40
	}
	for range 8 {
		sizes = append(sizes, 500)
		total += 500
	}
	sizes = append(sizes, 4000)
	total += 4000
	const jobs = 30
	return append(sizes, jobs*dayItems/dayJobs-total)
}

// TestWritesPerItemStayWithinTheTarget checks that submitting, running and
// removing a sample of a day's jobs takes at most one write per 50 items.
func TestWritesPerItemStayWithinTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		service := newTestService(t, store)
		executor := newExecutor(func(context.Context, string) (string, error) {
			time.Sleep(5 * time.Second)
			return "done", nil
		})
		var runners []*testRunner
		members := []string{"i1", "i2", "i3", "i4", "i5"}
		for _, id := range members {
			view := newView(id)
			view.set(members...)
			runners = append(runners, startRunner(t, RunnerOptions{Store: store, Executor: executor, View: view}))
		}
		items := 0
		begin := store.Faults().Counts()
		var jobs []Job
		for i, n := range daySample() {
			jobs = append(jobs, submit(t, service, fmt.Sprint(i), chatLines(n)))
			items += n
		}
		submitted := store.Faults().Counts()
		waitIdle(t, store)
		ran := store.Faults().Counts()
		for _, job := range jobs {
			if finished, err := service.Status(context.Background(), account, job.ID); err != nil || finished.Counts.Completed != job.Counts.Total {
				t.Fatalf("job %+v, %v", finished, err)
			}
		}
		before := store.Faults().Counts()
		for _, r := range runners {
			r.stop()
		}
		sweepAll(t, store)
		swept := store.Faults().Counts()
		submits, runs, sweeps := submitted.Writes-begin.Writes, ran.Writes-submitted.Writes, swept.Writes-before.Writes
		total := submits + runs + sweeps
		t.Logf("%d items in %d jobs: %d writes (%d submission, %d run, %d removal), one per %.1f items; %d reads of the run, one per %.1f items",
			items, len(jobs), total, submits, runs, sweeps, float64(items)/float64(total), ran.Reads-submitted.Reads, float64(items)/float64(ran.Reads-submitted.Reads))
		if int(total)*minItemsPerWrite > items {
			t.Errorf("%d writes for %d items, at most one per %d allowed", total, items, minItemsPerWrite)
		}
	})
}

// waitIdle waits until no job is open. It reads rarely, since reads are counted.
func waitIdle(t *testing.T, store *memory.Store) {
	t.Helper()
	for range 1000 {
		time.Sleep(time.Minute)
		rows, err := store.Range(context.Background(), openPrefix, storage.PrefixEnd(openPrefix), 1)
		if err == nil && len(rows) == 0 {
			return
		}
	}
	t.Fatal("jobs stay open")
}

// sweepAll removes all jobs after their retention.
func sweepAll(t *testing.T, store *memory.Store) {
	t.Helper()
	time.Sleep(30 * 24 * time.Hour)
	sweeper, err := NewSweeper(SweeperOptions{Store: store, View: newView("i1")})
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if err := sweeper.Sweep(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
}

// TestIdleInstancesReadLittleAndWriteNothing checks that the polls of idle
// instances leave the store's capacity to others.
func TestIdleInstancesReadLittleAndWriteNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		r := startRunner(t, RunnerOptions{Store: store, Executor: newExecutor(nil)})
		time.Sleep(time.Hour)
		r.stop()
		counts := store.Faults().Counts()
		perSecond := float64(counts.Reads) / 3600
		t.Logf("%.3f reads and %d writes a second of an idle instance", perSecond, counts.Writes)
		// 550 idle instances may use a tenth of the store's 2000 reads per second.
		if perSecond*550 > 200 || counts.Writes != 0 {
			t.Errorf("%.3f reads a second and %d writes", perSecond, counts.Writes)
		}
	})
}

// lineReader generates the lines of a job one at a time, to save memory.
type lineReader struct {
	items int
	next  int
	rest  []byte
}

func (r *lineReader) Read(b []byte) (int, error) {
	if len(r.rest) == 0 {
		if r.next == r.items {
			return 0, io.EOF
		}
		r.rest = fmt.Appendf(r.rest[:0], `{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"chat","messages":[{"role":"user","content":"Draft the voucher letter number %d for the shine-for-seniors program."}],"max_tokens":200}}`+"\n", r.next, r.next)
		r.next++
	}
	n := copy(b, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// fileObjects stores objects in files, so that they use no heap.
type fileObjects struct {
	*memory.Store
	dir string
}

func (f fileObjects) path(key string) string {
	return filepath.Join(f.dir, strings.ReplaceAll(key, "/", "_"))
}

func (f fileObjects) Put(_ context.Context, key string, body []byte) error {
	return os.WriteFile(f.path(key), body, 0o600)
}

func (f fileObjects) Open(_ context.Context, key string, offset, length int64) (io.ReadCloser, error) {
	file, err := os.Open(f.path(key))
	if err != nil {
		return nil, code.Wrap(code.StoreNotFound, err, "no object %q", key)
	}
	if length < 0 {
		length = 1 << 62
	}
	return struct {
		io.Reader
		io.Closer
	}{io.NewSectionReader(file, offset, length), file}, nil
}

// heapPeak records the peak size of the heap, including memory that is not
// collected yet. It reads the size on every 1000th sample.
type heapPeak struct {
	calls atomic.Int64
	mu    sync.Mutex
	peak  uint64
}

func (h *heapPeak) sample() {
	if h.calls.Add(1)%1000 != 0 {
		return
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peak = max(h.peak, m.HeapAlloc)
}

// lineChecker checks that lines arrive in order, without storing them.
type lineChecker struct{ lines int }

func (w *lineChecker) Write(b []byte) (int, error) {
	if !bytes.Contains(b, fmt.Appendf(nil, `"custom_id":"item-%d"`, w.lines)) {
		return 0, fmt.Errorf("line %d is %.80s", w.lines, b)
	}
	w.lines++
	return len(b), nil
}

// cpuTime returns the processor time that the test process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// runLarge submits and runs a job of n items on one instance. It returns the peak
// of the heap in bytes and the processor time of the submission and of the run.
func runLarge(t *testing.T, n int) (peak uint64, submitCPU, runCPU time.Duration) {
	store := fileObjects{memory.New(), t.TempDir()}
	service := newTestService(t, store)
	heap := &heapPeak{}
	answer := strings.Repeat("word ", 150)
	executor := &noopExecutor{answer: answer, heap: heap}
	begin := cpuTime()
	job, err := service.Submit(context.Background(), account, "large", Request{Input: &lineReader{items: n}})
	if err != nil {
		t.Fatal(err)
	}
	heap.calls.Store(999)
	heap.sample()
	submitCPU = cpuTime() - begin
	begin = cpuTime()
	r := startRunner(t, RunnerOptions{Store: store, Executor: executor})
	waitState(t, service, job.ID, StateFinished)
	r.stop()
	runCPU = cpuTime() - begin
	w := &lineChecker{}
	if _, err := service.Results(context.Background(), account, job.ID, 0, w); err != nil || w.lines != n {
		t.Fatalf("%d results, %v; want %d", w.lines, err, n)
	}
	heap.calls.Store(999)
	heap.sample()
	return heap.peak, submitCPU, runCPU
}

// TestLargestJobFitsTheInstance checks that submitting, running and reading the
// largest job stays within the heap limit of an instance.
func TestLargestJobFitsTheInstance(t *testing.T) {
	n := largestJob
	if raceDetector || testing.Short() {
		n /= 20
	}
	synctest.Test(t, func(t *testing.T) {
		peak, submitCPU, runCPU := runLarge(t, n)
		t.Logf("%d items: heap peak %.1f MB; processor time per item %v for the submission, %v for the run",
			n, float64(peak)/1e6, submitCPU/time.Duration(n), runCPU/time.Duration(n))
		if peak > maxHeapBytes {
			t.Errorf("heap peak %d, at most %d allowed", peak, maxHeapBytes)
		}
	})
}
