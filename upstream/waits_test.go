package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisylb/daisylb/contract"
)

// onlyUpstreamWaits are what an item may wait for at the only upstream of its service: how it
// answers meanwhile, or what its entry says.
var onlyUpstreamWaits = map[string]struct {
	script      script
	unreachable bool
	entry       func(u *contract.Upstream)
}{
	"refuses":             {script: rawScript(refusalOfTest)},
	"fails":               {script: rawScript("HTTP/1.1 503 Down\r\nId: {id}\r\nContent-Length: 0\r\n\r\n")},
	"breaks off":          {script: rawScript("HTTP/1.1 200 OK\r\n")},
	"answers another":     {script: rawScript("HTTP/1.1 200 OK\r\nId: other\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n")},
	"accepts nothing":     {unreachable: true},
	"says nothing":        {script: silentAtFirst(1<<40, 0, 0)},
	"stops at an event":   {script: silentAtFirst(1<<40, 1, 0)},
	"is said to leave":    {entry: func(u *contract.Upstream) { u.Draining = true }},
	"has no entry":        {entry: func(u *contract.Upstream) { u.Services = nil }},
	"has another address": {entry: func(u *contract.Upstream) { u.Address = "10.0.0.99:1" }},
}

// TestItemIsRunSoonAfterItsOnlyUpstreamIsBack guards against waits for an upstream that outlast
// the time to finish.
func TestItemIsRunSoonAfterItsOnlyUpstreamIsBack(t *testing.T) {
	const outage, last = 45 * time.Second, 4
	for name, c := range onlyUpstreamWaits {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var isBack atomic.Bool
				dial, workers, wait := pipeWorkers(func(t testing.TB, w *scriptedWorker, nc net.Conn, r *http.Request) {
					if c.script != nil && !isBack.Load() {
						c.script(t, w, nc, r)
						return
					}
					eventsScript(last, endOfChunks)(t, w, nc, r)
				})
				f := newChangingForwarder(t, func(ctx context.Context, network, address string) (net.Conn, error) {
					if c.unreachable && !isBack.Load() {
						return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
					}
					return dial(ctx, network, address)
				}, workers...)
				stop := sweepRegularly(f.Dispatcher)
				entry := f.document.Load().Upstreams["w0"]
				if c.entry != nil {
					f.editUpstream("w0", c.entry)
				}
				done := make(chan time.Time)
				call := batchCall("item", time.Hour)
				go func() {
					forwardItem(t, f.Dispatcher, call, last)
					done <- time.Now()
				}()
				time.Sleep(outage)
				backAt := time.Now()
				isBack.Store(true)
				f.editUpstream("w0", func(u *contract.Upstream) { *u = entry })
				if took := (<-done).Sub(backAt); took < 0 || took > finishTime {
					t.Errorf("the item was done %v after its upstream was back", took)
				}
				stop()
				wait.Wait()
			})
		})
	}
}
