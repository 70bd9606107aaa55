package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

const (
	resumeMaxGap   = 2 * time.Second
	resumeDeadline = 20 * time.Second
	resumeLast     = 6
	refusalOfTest  = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: {id}\r\nContent-Length: 0\r\n\r\n"
)

// resumeTrial forwards one stream that begins at one worker, which then falls silent. All
// other requests go to again.
type resumeTrial struct {
	*changingForwarder
	// again is called for each request after the first. It reports false if the request
	// is refused.
	again   func() bool
	workers []*scriptedWorker
	// dials counts the dials, unreachable makes those after the first fail.
	dials       atomic.Int64
	unreachable atomic.Bool
	// silentAt is when the first worker fell silent.
	silentAt time.Time
	requests atomic.Int64
}

// run returns the result of the stream. It must be called in a bubble.
func (r *resumeTrial) run(t *testing.T, workers int) (*answerSink, error) {
	s := func(t testing.TB, w *scriptedWorker, c net.Conn, req *http.Request) {
		switch {
		case r.requests.Add(1) == 1:
			_, _ = c.Write([]byte(streamHead(req, "") + chunk(event(1))))
			r.silentAt = time.Now()
			_, _ = c.Read(make([]byte, 1))
		case r.again():
			eventsScript(resumeLast, endOfChunks)(t, w, c, req)
		default:
			rawScript(refusalOfTest)(t, w, c, req)
		}
	}
	scripts := make([]script, workers)
	for i := range scripts {
		scripts[i] = s
	}
	pipes, scripted, wait := pipeWorkers(scripts...)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if r.dials.Add(1) > 1 && r.unreachable.Load() {
			return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
		}
		return pipes(ctx, network, address)
	}
	r.workers = scripted
	r.changingForwarder = newChangingForwarder(t, dial, scripted...)
	ctx, cancel := context.WithCancel(t.Context())
	wait.Go(func() { _ = r.Run(ctx) })
	call, sink := streamCall("a", true), &answerSink{}
	call.MaxGap, call.Deadline = resumeMaxGap, time.Now().Add(resumeDeadline)
	err := r.Forward(t.Context(), call, sink)
	cancel()
	wait.Wait()
	return sink, err
}

// wantWhole fails the test unless the caller got the whole stream.
func wantWhole(t *testing.T, sink *answerSink, err error) {
	t.Helper()
	if err != nil {
		t.Errorf("the answer was broken off: %v", err)
	}
	if diff := cmp.Diff(eventsUpTo(resumeLast), sink.body.String()); diff != "" {
		t.Error(diff)
	}
}

// TestRefusalsDoNotEndAStreamThatHasBegun has upstreams that refuse the resumption, or
// accept no connection, for a part of the pause that the caller bears.
func TestRefusalsDoNotEndAStreamThatHasBegun(t *testing.T) {
	const shortage = 300 * time.Millisecond
	for _, workers := range []int{2, 5, 40} {
		for name, unreachable := range map[string]bool{"refused": false, "unreachable": true} {
			t.Run(fmt.Sprintf("%s, %d upstreams", name, workers), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := &resumeTrial{}
					end := time.Now().Add(resumeMaxGap/2 + shortage)
					r.again = func() bool { return !time.Now().Before(end) }
					r.unreachable.Store(unreachable)
					time.AfterFunc(time.Until(end), func() { r.unreachable.Store(false) })
					sink, err := r.run(t, workers)
					wantWhole(t, sink, err)
					if took := time.Since(r.silentAt); took > resumeMaxGap {
						t.Errorf("the stream went on after %v, longer than its caller bears", took)
					}
				})
			})
		}
	}
}

// TestResumptionOfAStreamDoesNotRunHot has a large fleet that refuses the resumption until
// the deadline.
func TestResumptionOfAStreamDoesNotRunHot(t *testing.T) {
	for name, unreachable := range map[string]bool{"refused": false, "unreachable": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &resumeTrial{again: func() bool { return false }}
				r.unreachable.Store(unreachable)
				_, err := r.run(t, 40)
				if took := time.Since(r.silentAt); code.Of(err) != code.StreamBroken || took < resumeDeadline {
					t.Errorf("got %v after %v, want StreamBroken at the deadline of %v", err, took, resumeDeadline)
				}
				// On average, a wait is half of the longest one.
				if n, most := r.dials.Load(), int64(3*resumeDeadline/resumeBackoff.Max)+maxRefusals+maxUnreachable; n > most {
					t.Errorf("%d dials in %v, want at most %d", n, resumeDeadline, most)
				}
			})
		})
	}
}

// TestLackOfASlotDoesNotEndAStreamThatHasBegun has other requests take all slots when the
// stream has left its silent upstream.
func TestLackOfASlotDoesNotEndAStreamThatHasBegun(t *testing.T) {
	for name, lack := range map[string]time.Duration{
		"for less than the caller bears": 500 * time.Millisecond,
		// The caller decides when it has waited for too long.
		"for longer than the caller bears": 3 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var held []*slot
				r := &resumeTrial{}
				r.again = func() bool {
					if held != nil {
						return true
					}
					p, err := r.current().pool("s", contract.KindRouted)
					if err != nil {
						t.Error(err)
						return true
					}
					other := request{pool: p, deadline: time.Now().Add(time.Minute)}
					for g := r.sched.tryAcquire(t.Context(), other); g != nil; g = r.sched.tryAcquire(t.Context(), other) {
						held = append(held, g)
					}
					r.sched.mu.Lock()
					// The expected wait is past the deadline.
					p.slotTime = route.Average{Value: time.Hour}
					r.sched.mu.Unlock()
					time.AfterFunc(lack, func() {
						for _, g := range held {
							r.sched.discard(g)
						}
					})
					return false
				}
				sink, err := r.run(t, 2)
				wantWhole(t, sink, err)
				if took := time.Since(r.silentAt); len(held) == 0 || took < lack {
					t.Errorf("%d slots were held, the stream took %v", len(held), took)
				}
			})
		})
	}
}

// TestStreamThatHasBegunOutlastsTheAbsenceOfItsUpstreams removes the upstreams of a
// service for a short time, or has all of them leave, while a stream is to be resumed.
func TestStreamThatHasBegunOutlastsTheAbsenceOfItsUpstreams(t *testing.T) {
	const absence = 500 * time.Millisecond
	for name, edit := range map[string]func(u contract.Upstream) contract.Upstream{
		"removed": func(u contract.Upstream) contract.Upstream { u.Services = nil; return u },
		"leaving": func(u contract.Upstream) contract.Upstream { u.Draining = true; return u },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				changed := false
				r := &resumeTrial{}
				r.again = func() bool {
					if changed {
						return true
					}
					changed = true
					before := r.document.Load().Upstreams
					r.change(func(upstreams map[string]contract.Upstream) {
						for id, u := range upstreams {
							upstreams[id] = edit(u)
						}
					})
					time.AfterFunc(absence, func() {
						r.change(func(upstreams map[string]contract.Upstream) {
							for id, u := range before {
								upstreams[id] = u
							}
						})
					})
					return false
				}
				sink, err := r.run(t, 2)
				wantWhole(t, sink, err)
				if took := time.Since(r.silentAt); !changed || took < absence {
					t.Errorf("the stream took %v, the upstreams were absent for %v", took, absence)
				}
			})
		})
	}
}

// hookedConn calls a hook before it is closed for the first time.
type hookedConn struct {
	net.Conn
	once    sync.Once
	closing func()
}

func (c *hookedConn) Close() error {
	c.once.Do(c.closing)
	return c.Conn.Close()
}

// TestSilentUpstreamIsLeftOnlyForASlotThatIsTaken has other requests take the last free
// slot at the moment at which a stream leaves its silent upstream.
func TestSilentUpstreamIsLeftOnlyForASlotThatIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 1500 * time.Millisecond
		pausing := func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
			if r.Header.Get("After") != "" {
				eventsScript(resumeLast, endOfChunks)(t, w, c, r)
				return
			}
			_, err := c.Write([]byte(streamHead(r, "") + chunk(event(1))))
			time.Sleep(pause)
			for n := 2; n <= resumeLast && err == nil; n++ {
				_, err = c.Write([]byte(chunk(event(n))))
			}
			_, _ = c.Write([]byte(endOfChunks))
		}
		var d *Dispatcher
		var held []*slot
		pipes, workers, wait := pipeWorkers(pausing, pausing)
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := pipes(ctx, network, address)
			return &hookedConn{Conn: c, closing: func() {
				p, err := d.current().pool("s", contract.KindRouted)
				if err != nil || held != nil {
					return
				}
				other := request{pool: p, deadline: time.Now().Add(time.Minute)}
				for g := d.sched.tryAcquire(t.Context(), other); g != nil; g = d.sched.tryAcquire(t.Context(), other) {
					held = append(held, g)
				}
			}}, err
		}
		d, _ = newLoggedForwarder(t, dial, workers...)
		call, sink := streamCall("a", true), &answerSink{}
		call.MaxGap, call.Deadline = resumeMaxGap, time.Now().Add(resumeDeadline)
		begin := time.Now()
		err := d.Forward(t.Context(), call, sink)
		wantWhole(t, sink, err)
		if took := time.Since(begin); len(held) == 0 || took > resumeMaxGap {
			t.Errorf("the stream took %v, longer than its caller bears; %d slots were held", took, len(held))
		}
		for _, g := range held {
			d.sched.discard(g)
		}
		wait.Wait()
	})
}
