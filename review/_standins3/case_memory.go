package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = caseMemory }

// memoryLimit is the memory of a machine, and endsByRule how often a process has to end by itself
// on each of two machines for the rule to be broken.
const (
	memoryLimit = 144
	endsByRule  = 3
)

// caseMemory sends batch jobs of legal size whose items have long ids, and reads their results at
// both instances again and again. A process that is over the memory of its machine is killed and
// started again, as the platform does. Without trouble the ids are short, and the bodies of the
// items are longer by as much.
func caseMemory(w *world) error {
	const jobs, items, longBytes, clients, passes = 40, 90, 40000, 3, 10
	w.memoryMB = memoryLimit
	for n := range 6 {
		if _, err := w.startWorker(fmt.Sprintf("w%d", n+1), "-events", "2", "-gap", "2ms", "-quiet"); err != nil {
			return err
		}
	}
	w.configure(batchRoute("/sheets/"))
	if err := w.startDaemons(2); err != nil {
		return err
	}
	m := &memoryWatch{world: w, most: make([]atomic.Int64, 2), ends: make([]atomic.Int64, 2)}
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { m.run(stop) })
	deadline := time.Now().Add(90 * time.Second)
	goesOn := func() bool { return !m.isBroken() && time.Now().Before(deadline) }
	ids, accepted := make([]string, jobs), make([]bool, jobs)
	each := func(f func(i int)) {
		var next atomic.Int64
		var wait sync.WaitGroup
		for range clients {
			wait.Go(func() {
				for i := next.Add(1) - 1; i < jobs && goesOn(); i = next.Add(1) - 1 {
					f(int(i))
				}
			})
		}
		wait.Wait()
	}
	each(func(i int) {
		ids[i] = newID()
		body := longJob(w.trouble, items, longBytes)
		for n := range 8 {
			a := w.send(w.daemons[(i+n)%2], http.MethodPost, "/sheets/"+ids[i], ids[i], map[string]string{"Content-Type": "application/json"}, body, 8*time.Second)
			w.record("client: batch job %s of %d bytes: status %d, error %v", ids[i], len(body), a.status, a.err)
			if accepted[i] = a.err == nil && a.status == http.StatusAccepted; accepted[i] {
				return
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
	for pass := range passes {
		each(func(i int) {
			for _, d := range w.daemons {
				if accepted[i] {
					list, _ := w.results(d, ids[i], 6*time.Second)
					w.record("client: pass %d, batch job %s at %s: %d of %d results read", pass+1, ids[i], d.name, len(list), items)
				}
			}
		})
	}
	close(stop)
	watch.Wait()
	n := 0
	for _, ok := range accepted {
		if ok {
			n++
		}
	}
	summary := fmt.Sprintf("%d jobs accepted; at most %d and %d MB in memory; %d and %d ends", n, m.most[0].Load()>>20, m.most[1].Load()>>20, m.ends[0].Load(), m.ends[1].Load())
	w.record("%s", summary)
	fmt.Println(summary)
	if m.isBroken() {
		w.breaks("Fault: on both machines processes ended %d times for want of memory: %s", endsByRule, summary)
	} else if n < jobs {
		return fmt.Errorf("only %d jobs were accepted", n)
	}
	return nil
}

// memoryWatch is the platform's watch over the memory of the daemons.
type memoryWatch struct {
	world *world
	most  []atomic.Int64
	ends  []atomic.Int64
}

// isBroken reports whether processes have ended often enough on both machines.
func (m *memoryWatch) isBroken() bool {
	return m.ends[0].Load() >= endsByRule && m.ends[1].Load() >= endsByRule
}

func (m *memoryWatch) run(stop <-chan struct{}) {
	for {
		for i, d := range m.world.daemons {
			n := residentBytes(d.command.Process.Pid)
			m.most[i].Store(max(m.most[i].Load(), n))
			if n <= memoryLimit<<20 {
				continue
			}
			m.ends[i].Add(1)
			m.world.record("platform: %s has %d MB in memory, its machine %d MB: killed and started again", d.name, n>>20, memoryLimit)
			d.signal(syscall.SIGKILL)
			<-d.exited
			time.Sleep(200 * time.Millisecond)
			if err := d.start(); err != nil {
				m.world.record("platform: %v", err)
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// longJob returns the body of a job that has longBytes for each item beside its other fields: in
// its id or in its body.
func longJob(longIDs bool, items, longBytes int) []byte {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    string            `json:"body"`
		Tokens  int               `json:"tokens"`
	}
	var list []item
	for range items {
		i := item{newID(), "/sheets/x", map[string]string{"X-Model": "m", "X-Token-Count": "350,213"}, "", 563}
		if longIDs {
			i.ID += strings.Repeat("a", longBytes)
		} else {
			i.Body = base64.StdEncoding.EncodeToString(make([]byte, longBytes*3/4))
		}
		list = append(list, i)
	}
	body, err := json.Marshal(map[string]any{"requests": list})
	if err != nil {
		panic(err)
	}
	return body
}

// residentBytes returns the resident memory of a process, 0 if it has ended.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
