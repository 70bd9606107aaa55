package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// unframedRun is how a worker ends its answer to a request: behind an event, and whether it then
// accepts no more connections. status replaces the answer.
type unframedRun struct {
	last    int
	crashes bool
	framed  bool
	status  int
}

// unframedWorkers are workers whose answers have neither a length nor chunks.
type unframedWorkers struct {
	mu   sync.Mutex
	runs []unframedRun
	// after has the position that each request was to be resumed behind.
	after []string
	down  map[string]bool
}

func (u *unframedWorkers) script(_ testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
	u.mu.Lock()
	this := u.runs[min(len(u.after), len(u.runs)-1)]
	u.after = append(u.after, r.Header.Get("After"))
	u.down[w.address] = u.down[w.address] || this.crashes
	u.mu.Unlock()
	id := r.Header.Get("Id")
	if this.status != 0 {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d Odd\r\nSigned: yes\r\nId: %s\r\nContent-Length: 0\r\n\r\n", this.status, id)
		return
	}
	first := 0
	_, _ = fmt.Sscanf(r.Header.Get("After"), "%d", &first)
	text := ""
	for n := first + 1; n <= this.last; n++ {
		text += event(n)
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nSigned: yes\r\nId: %s\r\n%s", id, eventStreamType)
	if this.framed {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(text))
	}
	_, _ = c.Write([]byte(head + "\r\n" + text))
}

// TestItemOfAWorkerThatCrashedIsNotTakenForWhole guards against results that are listed as
// succeeded with a part of their output, since the end of a connection passes for that of an
// answer without a length.
func TestItemOfAWorkerThatCrashedIsNotTakenForWhole(t *testing.T) {
	const last = 5
	whole, crashed := unframedRun{last: last}, func(n int) unframedRun { return unframedRun{last: n, crashes: true} }
	for name, c := range map[string]struct {
		runs []unframedRun
		// after has the positions that upstreams are to be asked behind.
		after []string
	}{
		"whole":                         {[]unframedRun{whole}, []string{"", "5"}},
		"crash in the middle":           {[]unframedRun{crashed(2), whole}, []string{"", "2", "5"}},
		"crash behind the first event":  {[]unframedRun{crashed(1), whole}, []string{"", "1", "5"}},
		"crash before the last event":   {[]unframedRun{crashed(4), whole}, []string{"", "4", "5"}},
		"two crashes":                   {[]unframedRun{crashed(2), crashed(3), whole}, []string{"", "2", "3", "5"}},
		"crash before the rest":         {[]unframedRun{crashed(2), crashed(2), whole}, []string{"", "2", "2", "5"}},
		"crash behind the last event":   {[]unframedRun{crashed(5), whole}, []string{"", "5"}},
		"the rest has a length":         {[]unframedRun{crashed(2), {last: last, framed: true}}, []string{"", "2"}},
		"no rest, with a length":        {[]unframedRun{whole, {last: last, framed: true}}, []string{"", "5"}},
		"no rest, 404":                  {[]unframedRun{whole, {status: 404}}, []string{"", "5"}},
		"no rest, 422":                  {[]unframedRun{whole, {status: 422}}, []string{"", "5"}},
		"asked for the rest, 500 first": {[]unframedRun{crashed(2), {status: 500}, whole}, []string{"", "2", "2", "5"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &unframedWorkers{runs: c.runs, down: map[string]bool{}}
				dial, workers, wait := pipeWorkers(slices.Repeat([]script{u.script}, 4)...)
				d, _ := newLoggedForwarder(t, func(ctx context.Context, network, address string) (net.Conn, error) {
					u.mu.Lock()
					down := u.down[address]
					u.mu.Unlock()
					if down {
						return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
					}
					return dial(ctx, network, address)
				}, workers...)
				call := batchCall("item", time.Minute)
				forwardItem(t, d, call, last)
				if diff := cmp.Diff(c.after, u.after); diff != "" {
					t.Errorf("positions asked for: %s", diff)
				}
				wait.Wait()
			})
		})
	}
}
