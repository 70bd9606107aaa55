package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["unframed"] = caseUnframed }

// caseUnframed has nine workers whose answers have no length and end with their connections. One
// of them crashes while it streams.
func caseUnframed(w *world) error {
	const events, requests = 60, 36
	for n := range 9 {
		if _, err := w.startWorker(fmt.Sprintf("w%d", n+1), "-unframed", "-events", fmt.Sprint(events), "-gap", "30ms"); err != nil {
			return err
		}
	}
	w.configure(streamRoute("/quote/", true, 2))
	if err := w.startDaemons(2); err != nil {
		return err
	}
	var wait sync.WaitGroup
	answers := make([]answer, requests)
	ids := make([]string, requests)
	for i := range requests {
		ids[i] = newID()
		wait.Go(func() { answers[i] = w.stream(w.daemons[i%2], "/quote/"+ids[i], ids[i]) })
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(600 * time.Millisecond)
	if w.trouble {
		w.workers[0].crash()
	}
	wait.Wait()
	whole := 0
	for i, a := range answers {
		got := strings.Count(a.body, "data:")
		switch {
		case a.err == nil && a.status == http.StatusOK && got < events:
			w.breaks("ORDER: the stream of %s ended as complete after %d of %d events", ids[i], got, events)
		case a.err == nil && a.status == http.StatusOK:
			whole++
		}
	}
	w.record("%d of %d answers whole", whole, requests)
	if !w.trouble && whole < requests {
		return fmt.Errorf("only %d of %d answers were whole without trouble", whole, requests)
	}
	return nil
}
