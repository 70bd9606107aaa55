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
	"time"
)

func init() { cases["memory"] = caseMemory }

// caseMemory sends batch jobs of legal size whose items have long ids, one after another. Without
// trouble the ids are short, and the bodies of the items are longer by as much.
func caseMemory(w *world) error {
	const jobs, items, longBytes, clients = 60, 90, 40000, 3
	w.memoryMB = 144
	for n := range 6 {
		if _, err := w.startWorker(fmt.Sprintf("w%d", n+1), "-events", "2", "-gap", "2ms", "-quiet"); err != nil {
			return err
		}
	}
	w.configure(batchRoute("/sheets/"))
	if err := w.startDaemons(2); err != nil {
		return err
	}
	stop, most := make(chan struct{}), make([]int64, len(w.daemons))
	var watch sync.WaitGroup
	var over atomic.Bool
	watch.Go(func() {
		for {
			for i, d := range w.daemons {
				n := residentBytes(d.command.Process.Pid)
				if most[i] = max(most[i], n); n > int64(w.memoryMB)<<20 && !over.Swap(true) {
					w.breaks("Fault: %s has %d MB in memory, its machine %d MB: the platform kills it", d.name, n>>20, w.memoryMB)
				}
			}
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	})
	var done, accepted atomic.Int64
	var wait sync.WaitGroup
	deadline := time.Now().Add(75 * time.Second)
	for range clients {
		wait.Go(func() {
			for done.Add(1) <= jobs && !over.Load() && time.Now().Before(deadline) {
				id, body := newID(), longJob(w.trouble, items, longBytes)
				for range 5 {
					a := w.send(w.daemons[0], http.MethodPost, "/sheets/"+id, id, map[string]string{"Content-Type": "application/json"}, body, 8*time.Second)
					w.record("client: batch job %s of %d bytes: status %d, error %v", id, len(body), a.status, a.err)
					if a.err == nil && a.status == http.StatusAccepted {
						accepted.Add(1)
						break
					}
					time.Sleep(500 * time.Millisecond)
				}
				list, total := w.results(w.daemons[1], id, 15*time.Second)
				w.record("client: batch job %s: %d of %d results read; memory %d MB and %d MB", id, len(list), total, most[0]>>20, most[1]>>20)
			}
		})
	}
	wait.Wait()
	close(stop)
	watch.Wait()
	w.record("%d jobs accepted, at most %d MB and %d MB in memory", accepted.Load(), most[0]>>20, most[1]>>20)
	fmt.Printf("%d jobs accepted, at most %d MB and %d MB in memory\n", accepted.Load(), most[0]>>20, most[1]>>20)
	if accepted.Load() < jobs/2 && !over.Load() {
		return fmt.Errorf("only %d jobs were accepted", accepted.Load())
	}
	return nil
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
