package quota

import (
	"context"
	"fmt"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/roster"
)

// loopback returns a UDP socket on a free port.
func loopback(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// testNow is the time by the clock of all Limiters, which stands still: no token expires, no
// denial ends, however slow the machine is.
const testNow = time.Hour

// runLimiter runs a Limiter until the end of the test. Its own lease begins now, unless it is one
// of the members, which have held theirs from the beginning.
func runLimiter(t *testing.T, self string, conn *net.UDPConn, limit contract.RateLimit, members []roster.Lease) *Limiter {
	t.Helper()
	l, err := New(Options{
		Self: self, Conn: conn, Bounds: Bounds{5 * time.Second, 0.1, 20},
		Clock: func() time.Duration { return testNow },
		Leases: func() roster.Leases {
			v := roster.Leases{Members: members, StoreNow: testNow, ReadAt: testNow, ExtendedAt: testNow, Joined: testNow, SinceLastStart: math.MaxInt64}
			for _, m := range members {
				if m.Name == self {
					v.Joined = 0
				}
			}
			return v
		},
		Limit: func(string) (contract.RateLimit, bool) { return limit, true },
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = l.Run(ctx) })
	t.Cleanup(func() { cancel(); wait.Wait() })
	return l
}

// accountOwnedBy returns an account of which the owners of the first share that l asks and of
// the next one are those named.
func accountOwnedBy(t *testing.T, l *Limiter, owners ...string) string {
	t.Helper()
	l.refresh()
	l.mu.Lock()
	defer l.mu.Unlock()
next:
	for i := range 10_000 {
		a := &account{name: fmt.Sprint("a", i)}
		first, _ := l.shareToAsk(a, maxShares, testNow)
		for n, want := range owners {
			if name, _, _ := l.owner.ring.Owner(a.name, (first+n)%maxShares); name != want {
				continue next
			}
		}
		return a.name
	}
	t.Fatal("no account has such owners")
	return ""
}

// TestOwnerThatDoesNotAnswer guards against requests that fail, and against further messages to
// an owner, while one of the owners of an account is down.
func TestOwnerThatDoesNotAnswer(t *testing.T) {
	limit := contract.RateLimit{PerSecond: 40, Burst: 40}
	silent, ownerConn := loopback(t), loopback(t)
	members := []roster.Lease{{Name: "owner", Address: ownerConn.LocalAddr().String(), Leased: testNow}, {Name: "silent", Address: silent.LocalAddr().String(), Leased: testNow}}
	var received atomic.Int64
	go func() {
		buffer := make([]byte, maxMessageBytes)
		for {
			if _, _, err := silent.ReadFromUDP(buffer); err != nil {
				return
			}
			received.Add(1)
		}
	}()
	owner := runLimiter(t, "owner", ownerConn, limit, members)
	l := runLimiter(t, "asks", loopback(t), limit, members)
	owner.refresh()
	name := accountOwnedBy(t, l, "silent", "owner")
	for n := range int(Split(limit, Bounds{5 * time.Second, 0.1, 20}).Initial) {
		if _, err := l.Admit(t.Context(), name, limit); err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
	}
	if n := received.Load(); n != 1 {
		t.Errorf("the owner that does not answer got %d messages, want 1", n)
	}
	begun := time.Now()
	_, err := l.Admit(t.Context(), accountOwnedBy(t, l, "silent", "silent", "silent", "silent"), limit)
	if took := time.Since(begun); code.Of(err) != code.QuotaUnavailable || code.From(err).Outcome != code.NotRun || took < admitTimeout {
		t.Errorf("%v after %v, want QuotaUnavailable after %v", err, took, admitTimeout)
	}
}

// TestRequestsOverTheLimit guards against requests over the limit that run or that ask the
// owners each time, and against tokens that are not given back.
func TestRequestsOverTheLimit(t *testing.T) {
	limit := contract.RateLimit{PerSecond: 0.04, Burst: 8}
	ownerConn := loopback(t)
	members := []roster.Lease{{Name: "owner", Address: ownerConn.LocalAddr().String(), Leased: testNow}}
	owner := runLimiter(t, "owner", ownerConn, limit, members)
	l := runLimiter(t, "asks", loopback(t), limit, members)
	owner.refresh()
	l.refresh()
	var release func()
	shares := Split(limit, Bounds{5 * time.Second, 0.1, 20})
	for n := range shares.Count * int(shares.Initial) {
		var err error
		if release, err = l.Admit(t.Context(), "a", limit); err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
	}
	for range 5 {
		if _, err := l.Admit(t.Context(), "a", limit); code.Of(err) != code.AccountLimit || code.From(err).RetryAfter <= 0 {
			t.Errorf("%v, want AccountLimit with a hint", err)
		}
	}
	l.mu.Lock()
	asked := len(l.pending)
	l.mu.Unlock()
	if asked != 0 {
		t.Errorf("%d requests for tokens wait for an answer", asked)
	}
	release()
	if _, err := l.Admit(t.Context(), "a", limit); err != nil {
		t.Errorf("after a token was given back: %v", err)
	}
}

// TestAnswerToAPreviousProcess guards against a late answer to a request of the previous process
// on the machine that gives tokens to another account.
func TestAnswerToAPreviousProcess(t *testing.T) {
	o := Options{Self: "a", Bounds: Bounds{Window: time.Second}}
	if first, second := newLimiter(o), newLimiter(o); first.nextID == second.nextID {
		t.Errorf("two processes begin with request %d", first.nextID)
	}
}
