package upstream

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// lateConn has a reader that gets no processor for a pause before its first read.
type lateConn struct {
	*net.TCPConn
	pause time.Duration
	reads atomic.Int64
}

func (c *lateConn) Read(p []byte) (int, error) {
	if c.reads.Add(1) == 1 {
		time.Sleep(c.pause)
	}
	return c.TCPConn.Read(p)
}

// TestUpstreamWhoseDataIsNotReadIsNotSilent has an upstream that sends its whole answer at
// once, and an instance that reads it later than the silence limit.
func TestUpstreamWhoseDataIsNotReadIsNotSilent(t *testing.T) {
	// The upstream sends its answer well within half of maxGap, also on a busy machine.
	const maxGap, last = 4 * time.Second, 1000
	for name, c := range map[string]struct{ readPause, writePause time.Duration }{
		"reader without a processor": {readPause: maxGap},
		"caller that reads slowly":   {writePause: maxGap},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := eventsScript(last, endOfChunks)
			a, b := startWorker(t, s), startWorker(t, s)
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				nc, err := dialForward(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &lateConn{TCPConn: nc.(*net.TCPConn), pause: c.readPause}, nil
			}
			d, logs := newLoggedForwarder(t, dial, a, b)
			call, sink := streamCall("a", true), &answerSink{}
			call.MaxGap = maxGap
			sink.wrote = func() { time.Sleep(c.writePause); c.writePause = 0 }
			if err := d.Forward(t.Context(), call, sink); err != nil {
				t.Errorf("the answer was broken off: %v", err)
			}
			if diff := cmp.Diff(eventsUpTo(last), sink.body.String()); diff != "" {
				t.Error(diff)
			}
			if n := a.requestCount.Load() + b.requestCount.Load(); n != 1 {
				t.Errorf("the request ran %d times, log %v", n, logs.FilterMessage("forwarding again").All())
			}
		})
	}
}

// TestDataWithoutProgressDoesNotHideSilence has an upstream that sends comments without
// end, faster than they can be read.
func TestDataWithoutProgressDoesNotHideSilence(t *testing.T) {
	const maxGap, last = 300 * time.Millisecond, 6
	s := inTurn(func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
		endlessScript(streamHead(r, "")+chunk(event(1)), chunk(": on\n\n"))(t, w, c, r)
	}, eventsScript(last, endOfChunks))
	d, _ := newLoggedForwarder(t, nil, startWorker(t, s), startWorker(t, s))
	call := streamCall("a", true)
	call.MaxGap = maxGap
	sink := &countingSink{onLimit: func() {}}
	if err := d.Forward(t.Context(), call, sink); err != nil {
		t.Error(err)
	}
}

// TestReaderThatFallsBehindAgainIsNoSilence has a reader that falls behind twice, with
// more than maxBacklogBytes read in between.
func TestReaderThatFallsBehindAgainIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 200 * time.Millisecond
		conn, ended := &countingConn{}, false
		s := &silenceTimer{
			limit:   func(time.Time, bool) time.Duration { return limit },
			backlog: &backlog{conn: conn},
			end:     func() { ended = true },
		}
		s.start()
		defer s.stop()
		for n := range int64(2) {
			conn.done.Store(2 * n * maxBacklogBytes)
			conn.read.Store(conn.done.Load() + 1)
			s.progress(time.Now())
			time.Sleep(2 * limit)
			synctest.Wait()
			if ended {
				t.Fatalf("the attempt ended when its reader was behind for time %d", n+1)
			}
		}
	})
}
