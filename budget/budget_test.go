package budget

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/daisylb/daisylb/code"
)

// fakeCaller is a caller that releases its bytes as soon as it is given up.
type fakeCaller struct {
	holder *Holder
	// due is set while the caller must not be given up.
	due     bool
	givenUp bool
}

func (c *fakeCaller) GiveUp(Facts) bool {
	if c.due {
		return false
	}
	c.givenUp = true
	go c.holder.End(0)
	return true
}

// open opens a holder of a request that began some time ago and has moved some bytes since.
func open(b *Budget, elapsed time.Duration, moved int) *fakeCaller {
	c := &fakeCaller{}
	c.holder = b.Open(c, time.Now().Add(-elapsed))
	c.holder.Moved(moved, time.Now())
	return c
}

// TestSlowestIsGivenUp guards against refusals of callers that make progress while others hold
// bytes without any.
func TestSlowestIsGivenUp(t *testing.T) {
	// The progress of the callers depends on the clock, which stands still in the bubble.
	synctest.Test(t, func(t *testing.T) {
		b := New(Limits{Bytes: 4 << 20})
		slow := open(b, 10*time.Second, 1<<20)
		quick := open(b, 100*time.Millisecond, 1<<20)
		due := open(b, 20*time.Second, 10)
		due.due = true
		for _, c := range []*fakeCaller{slow, quick, due} {
			if err := c.holder.Take(1 << 20); err != nil {
				t.Fatal(err)
			}
		}
		ordinary := open(b, time.Millisecond, 500)
		if err := ordinary.holder.Take(1 << 20); err != nil {
			t.Errorf("an ordinary caller was refused: %v", err)
		}
		if !slow.givenUp || quick.givenUp || due.givenUp {
			t.Errorf("given up: slow %v, quick %v, due %v, want the slow one only", slow.givenUp, quick.givenUp, due.givenUp)
		}
	})
}

// TestOrderOfCallers guards against ordinary callers that are given up before those that have
// stopped.
func TestOrderOfCallers(t *testing.T) {
	stopped := state{held: 1 << 20, moved: 1 << 20, elapsed: time.Second, inactive: time.Second}
	for name, ordinary := range map[string]state{
		"slow upload":      {held: 2 << 20, moved: 2 << 20, elapsed: 4 * time.Second, inactive: 50 * time.Millisecond},
		"small request":    {held: 24 << 10, moved: 300, elapsed: 2 * time.Millisecond},
		"idle":             {held: ConnectionBytes, elapsed: time.Minute, inactive: time.Minute},
		"answer that came": {held: 100 << 10, moved: 80 << 10, elapsed: 10 * time.Millisecond, inactive: 10 * time.Millisecond},
	} {
		if slowestFirst(stopped, ordinary) >= 0 || slowestFirst(ordinary, stopped) <= 0 {
			t.Errorf("%s comes before a sender that has stopped", name)
		}
	}
}

// TestTimeOfUpstreamIsNotTheCallers guards against the refusal of an answer because its upstream
// needed long for it.
func TestTimeOfUpstreamIsNotTheCallers(t *testing.T) {
	b := New(Limits{Bytes: 1 << 20})
	stopped := open(b, 3*time.Second, 900<<10)
	if err := stopped.holder.Take(900 << 10); err != nil {
		t.Fatal(err)
	}
	stopped.holder.activeAt.Store(time.Now().Add(-time.Second).UnixNano())
	due := open(b, 5*time.Second, 300)
	due.due = true
	if err := due.holder.TakeAnswer(200 << 10); err != nil || !stopped.givenUp {
		t.Errorf("got %v for the answer, stopped sender given up: %v", err, stopped.givenUp)
	}
}

// TestSlowestIsRefusedItself guards against a slow caller for which others are given up.
func TestSlowestIsRefusedItself(t *testing.T) {
	b := New(Limits{Bytes: 2 << 20})
	quick := open(b, 10*time.Millisecond, 1<<20)
	slow := open(b, 10*time.Second, 1<<10)
	if err := quick.holder.Take(1 << 20); err != nil {
		t.Fatal(err)
	}
	held := slow.holder.heldBytes()
	if err := slow.holder.Take(1 << 20); code.Of(err) != code.MemoryExhausted {
		t.Errorf("got error %v, want %d", err, code.MemoryExhausted)
	}
	if quick.givenUp || slow.holder.heldBytes() != held {
		t.Errorf("quick given up: %v; slow holds %d bytes, want %d", quick.givenUp, slow.holder.heldBytes(), held)
	}
}

// TestChargesEndInRefusalWhileAllAnswersAreDue guards against an overrun and a hang where no
// caller may be given up.
func TestChargesEndInRefusalWhileAllAnswersAreDue(t *testing.T) {
	b := New(Limits{Bytes: 1 << 20})
	due := open(b, time.Second, 10)
	due.due = true
	if err := due.holder.Take(900 << 10); err != nil {
		t.Fatal(err)
	}
	if err := open(b, time.Millisecond, 500).holder.Take(500 << 10); code.Of(err) != code.MemoryExhausted {
		t.Errorf("got error %v, want %d", err, code.MemoryExhausted)
	}
	if used := b.Used(); used > b.Limits().Bytes {
		t.Errorf("%d bytes are held, want at most %d", used, b.Limits().Bytes)
	}
}

// TestRequestOnWokenConnectionCountsAgain guards against bytes that are not counted, of an idle
// connection on which a request arrives while it is being ended.
func TestRequestOnWokenConnectionCountsAgain(t *testing.T) {
	b := New(Limits{Bytes: 1 << 20, Connections: 8})
	h := open(b, time.Second, 0).holder
	for range 7 {
		open(b, time.Millisecond, 1)
	}
	b.HasRoom(time.Now())
	if !h.leaving.Load() {
		t.Fatal("the connection that was inactive for the longest time is not given up")
	}
	if h.Begin(time.Now()); h.leaving.Load() {
		t.Error("the connection still counts as given up after a request has begun")
	}
}

// TestConnectionsStayUnderLimit guards against the use of all descriptors by connections.
func TestConnectionsStayUnderLimit(t *testing.T) {
	b := New(LimitsFor(144<<20, 3075))
	var last *fakeCaller
	n := 0
	for ; b.HasRoom(time.Now()) && n < 5000; n++ {
		last = open(b, time.Second, 1)
		last.due = true
	}
	if want := (3075 - reservedDescriptors - ownDescriptors) / 2; n != want {
		t.Errorf("%d connections were opened, want %d", n, want)
	}
	last.holder.Close()
	if !b.HasRoom(time.Now()) {
		t.Error("there is no room after a connection was closed")
	}
}

// TestClosedHoldersLeaveNothing guards against bytes that stay charged.
func TestClosedHoldersLeaveNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Limits{Bytes: 1 << 20})
		for range rapid.IntRange(1, 20).Draw(t, "callers") {
			c := open(b, time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms"))*time.Millisecond, rapid.IntRange(0, 1<<20).Draw(t, "moved"))
			body := make([]byte, rapid.IntRange(0, 100<<10).Draw(t, "bytes"))
			size := int64(rapid.SampledFrom([]int{-1, 0, len(body), len(body) + 1, 4 << 20}).Draw(t, "size"))
			got, err := ReadAll(c.holder.Take, iotest.DataErrReader(iotest.HalfReader(bytes.NewReader(body))), size)
			if code.Of(err) != code.MemoryExhausted && (err != nil || len(got) != len(body)) {
				t.Fatalf("read %d bytes, %v, want %d", len(got), err, len(body))
			}
			if held := c.holder.heldBytes(); err == nil && held < ConnectionBytes+int64(cap(got)) && !c.givenUp {
				t.Fatalf("%d bytes are held for a buffer of %d", held, cap(got))
			}
			if rapid.Bool().Draw(t, "end") {
				c.holder.End(0)
			}
			if !c.givenUp {
				c.holder.Close()
				c.holder.Close()
			}
		}
		if b.Connections() == 0 && b.Used() != 0 {
			t.Fatalf("%d bytes are held for no connection", b.Used())
		}
	})
}

// TestHeadCost guards against a cost that depends on how a head is split, or that counts a body
// as lines.
func TestHeadCost(t *testing.T) {
	for _, c := range []struct {
		name, text   string
		bytes, lines int
	}{
		{"head and body", "GET / HTTP/1.1\r\nA: b\r\n\r\nx\r\ny\r\n", 24, 3},
		{"without carriage returns", "GET / HTTP/1.1\nA:\n\nx\n", 19, 3},
		{"no end", "GET / HTTP/1.1\r\na:\r\nb:", 22, 2},
		{"empty lines first", "\r\n\r\nGET / HTTP/1.1\r\n\r\n\r\n", 22, 4},
	} {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
			for step := 1; step <= len(c.text); step++ {
				var h Head
				cost := int64(0)
				for rest := []byte(c.text); len(rest) > 0; {
					n := min(step, len(rest))
					cost += h.Add(rest[:n])
					rest = rest[n:]
				}
				if want := int64(c.bytes + c.lines*LineBytes); cost != want || h.Bytes != c.bytes || h.Lines != c.lines {
					t.Errorf("in steps of %d bytes: cost %d, %d bytes, %d lines, want %d, %d and %d", step, cost, h.Bytes, h.Lines, want, c.bytes, c.lines)
				}
			}
		})
	}
}

// TestBufferGrowsWithWhatArrives guards against a declared length that reserves memory.
func TestBufferGrowsWithWhatArrives(t *testing.T) {
	b := New(Limits{Bytes: 64 << 20})
	h := open(b, 0, 0).holder
	_, err := ReadAll(h.Take, io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF)), 32<<20)
	if held := h.heldBytes() - ConnectionBytes; err == nil || held > firstBodyBytes {
		t.Errorf("%d bytes are held for a byte, %v, want at most %d", held, err, firstBodyBytes)
	}
}

// TestKernelBytesCount guards against bytes in the buffers of sockets that no one counts.
func TestKernelBytesCount(t *testing.T) {
	b := New(Limits{Bytes: 1 << 20})
	c := open(b, time.Second, 10)
	c.holder.SetKernel(900 << 10)
	c.holder.SetKernel(2 << 20)
	if want := int64(2<<20 + ConnectionBytes); b.Used() != want {
		t.Errorf("%d bytes are held, want %d", b.Used(), want)
	}
	if b.Reclaim(time.Now()); !c.givenUp {
		t.Error("the caller is not given up")
	}
	for b.Used() != ConnectionBytes {
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkSmallRequest measures the charges of an ordinary small request.
func BenchmarkSmallRequest(b *testing.B) {
	h := open(New(LimitsFor(144<<20, 3075)), 0, 0).holder
	head := []byte("POST /a/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\n")
	now := time.Now()
	for b.Loop() {
		h.Begin(now)
		h.Moved(len(head), now)
		var m Head
		_ = h.Take(m.Add(head))
		_ = h.Take(4)
		h.Moved(100, now)
		h.End(0)
	}
}

// TestPortsStayWithinTheLimitsTogether guards against ports whose parts exceed the machine's
// memory or descriptors together.
func TestPortsStayWithinTheLimitsTogether(t *testing.T) {
	const ports = 2
	for _, maxDescriptors := range []int{0, 1, 300, 400, 3075, 1 << 20} {
		whole := LimitsFor(144<<20, maxDescriptors)
		requests, port := whole.Split(ports)
		if requests.Bytes+ports*port.Bytes > whole.Bytes || port.Bytes < 1<<20 {
			t.Errorf("%d descriptors: %d bytes and %d a port, want at most %d together", maxDescriptors, requests.Bytes, port.Bytes, whole.Bytes)
		}
		used := descriptorsPerCaller*requests.Connections + ports*port.Connections
		if whole.Connections > ports && used > descriptorsPerCaller*whole.Connections || (port.Connections > 0) != (maxDescriptors > 0) {
			t.Errorf("%d descriptors: %d connections and %d a port, want %d at most", maxDescriptors, requests.Connections, port.Connections, whole.Connections)
		}
	}
}
