package roster

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/feed"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// storeStart is the store's clock when the tests' clock by package boottime is 0.
const storeStart = 1000 * time.Second

// clockedLease returns a lease that knows the store's clock.
func clockedLease() *HeldLease {
	l := &HeldLease{}
	l.ObserveClock(storeStart, 0, 0)
	return l
}

// TestLeaseOfAStartingProcess guards against a process that owns something at once while another
// member may own it, and against a restart that needlessly waits to own it again.
func TestLeaseOfAStartingProcess(t *testing.T) {
	predecessor := func(joined, leasedAgo time.Duration) *Member {
		return &Member{ID: "old", JoinedMillis: joined.Milliseconds(), LeasedMillis: (storeStart - leasedAgo).Milliseconds()}
	}
	for name, c := range map[string]struct {
		predecessor *Member
		firstStart  bool
		want        time.Duration
	}{
		"no predecessor":                    {nil, false, storeStart},
		"within the gap":                    {predecessor(7*time.Second, LeaseGap), false, 7 * time.Second},
		"beyond the gap":                    {predecessor(7*time.Second, LeaseGap+time.Second), false, storeStart},
		"predecessor without a lease":       {&Member{ID: "old"}, false, storeStart},
		"first start":                       {nil, true, joinedAtFirstStart * time.Millisecond},
		"second start, within the gap":      {predecessor(joinedAtFirstStart*time.Millisecond, LeaseGap), true, joinedAtFirstStart * time.Millisecond},
		"second start, beyond the gap":      {predecessor(joinedAtFirstStart*time.Millisecond, LeaseGap+time.Second), true, storeStart},
		"predecessor of a later membership": {predecessor(storeStart-time.Second, time.Second), false, storeStart - time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			l, m := clockedLease(), &Member{}
			if c.predecessor != nil {
				l.ObserveOwnRow(c.predecessor, "new")
			}
			l.Extend(m, c.firstStart, 0)
			if m.JoinedMillis != c.want.Milliseconds() || m.LeasedMillis != storeStart.Milliseconds() {
				t.Errorf("joined at %d ms, leased at %d ms; want %v and %v", m.JoinedMillis, m.LeasedMillis, c.want, storeStart)
			}
		})
	}
}

// TestLeaseBeginsAnewAfterAGap guards against an instance that goes on with its lease when
// others may have taken over.
func TestLeaseBeginsAnewAfterAGap(t *testing.T) {
	for name, c := range map[string]struct {
		// confirmed has, for extensions every 10 s from 0 on, how long each took to be
		// confirmed; a negative time stands for a lost confirmation.
		confirmed  []time.Duration
		firstStart bool
		want       time.Duration
	}{
		"all confirmed":                       {[]time.Duration{0, 0, 0}, false, storeStart},
		"one confirmation lost":               {[]time.Duration{0, -1}, false, storeStart},
		"confirmations lost for the gap":      {[]time.Duration{0, -1, -1}, false, storeStart + 30*time.Second},
		"confirmed too late":                  {[]time.Duration{0, 9 * time.Second, 9 * time.Second}, false, storeStart + 30*time.Second},
		"first start, one confirmation lost":  {[]time.Duration{-1}, true, joinedAtFirstStart * time.Millisecond},
		"first start, never confirmed in gap": {[]time.Duration{-1, -1, -1}, true, storeStart + 30*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			l, now := clockedLease(), time.Duration(0)
			for _, took := range c.confirmed {
				m := &Member{}
				l.Extend(m, c.firstStart, now)
				if took >= 0 {
					l.Confirm(m, now, now+took)
				}
				now += 10 * time.Second
			}
			m := &Member{}
			l.Extend(m, c.firstStart, now)
			if m.JoinedMillis != c.want.Milliseconds() {
				t.Errorf("joined at %d ms, want %v", m.JoinedMillis, c.want)
			}
		})
	}
}

// TestClockOfAStoppedProcess guards against extensions that look a minute old to others, which
// then take over, since a response of the store was handled a minute after it was sent.
func TestClockOfAStoppedProcess(t *testing.T) {
	l := clockedLease()
	l.ObserveClock(storeStart+10*time.Second, 10*time.Second, 70*time.Second)
	if got, want := l.storeNow(70*time.Second), storeStart+70*time.Second; got != want {
		t.Errorf("the store's clock is taken to be %v, want %v", got, want)
	}
}

// TestOwnLeaseIsTheConfirmedOne guards against an instance that acts on its lease of before a
// gap while its new row is not read yet.
func TestOwnLeaseIsTheConfirmedOne(t *testing.T) {
	l := clockedLease()
	m := &Member{}
	l.Extend(m, false, 0)
	l.Confirm(m, 0, 0)
	l.Extend(m, false, time.Minute)
	l.Confirm(m, time.Minute, time.Minute)
	if v := l.Leases(nil, time.Minute, time.Minute); v.Joined != storeStart+time.Minute || v.ExtendedAt != time.Minute {
		t.Errorf("joined at %v, extended at %v; want the lease after the gap", v.Joined, v.ExtendedAt)
	}
}

// TestDelayedWriteOfARow guards against an instance that is taken for gone, or for a member of
// old, when a write of its row takes effect after a later one.
func TestDelayedWriteOfARow(t *testing.T) {
	r := New(Options{Rows: memory.NewRows(), Log: zap.NewNop(), Self: Member{Name: "a", ID: "a/1"}})
	read := func(version uint64, m Member) {
		value, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		r.update(feed.Update{Now: storeStart, Rows: []storage.TableRow{{RowKey: storage.RowKey{Table: Table, Key: m.Name}, Value: value, Version: version}}})
	}
	newer := Member{Name: "b", ID: "b/2", JoinedMillis: 500_000, LeasedMillis: 990_000, LeaseStartMillis: 500_000, LeaseAddress: "10.0.0.1:1"}
	older := Member{Name: "b", ID: "b/1", JoinedMillis: 1, LeasedMillis: 400_000, LeaseStartMillis: 1, LeaseAddress: "10.0.0.1:1"}
	read(1, newer)
	read(2, older)
	want := Lease{Name: "b", Address: "10.0.0.1:1", Joined: 500 * time.Second, Leased: 990 * time.Second}
	if got := r.Leases().Members; len(got) != 1 || got[0] != want {
		t.Errorf("leases %+v, want %+v", got, want)
	}
}

// unreadableStore is a store whose reads fail until readable is set. It counts writes.
type unreadableStore struct {
	*memory.Rows
	readable atomic.Bool
	writes   atomic.Int64
}

func (s *unreadableStore) GetRows(ctx context.Context, table, part, from, to string) (storage.RowPage, error) {
	if !s.readable.Load() {
		return storage.RowPage{}, code.New(code.StoreUnavailable, "no answer")
	}
	return s.Rows.GetRows(ctx, table, part, from, to)
}

func (s *unreadableStore) ApplyRows(ctx context.Context, t storage.RowTransaction) (storage.RowPage, error) {
	s.writes.Add(1)
	return s.Rows.ApplyRows(ctx, t)
}

// TestFirstWriteWaitsForTheTable guards against a process that replaces the row of its
// predecessor before it has read it, and so loses the lease, or takes that of the first start.
func TestFirstWriteWaitsForTheTable(t *testing.T) {
	for _, firstStart := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := &unreadableStore{Rows: memory.NewRows()}
			r := New(Options{Rows: s, Log: zap.NewNop(), Self: Member{Name: "a", ID: "a/1"}, LeaseAddress: "10.0.0.1:1", FirstStart: firstStart})
			ctx, cancel := context.WithCancel(context.Background())
			var wait sync.WaitGroup
			wait.Go(func() { _ = r.Run(ctx) })
			time.Sleep(time.Minute)
			if n := s.writes.Load(); n != 0 {
				t.Errorf("first start %v: %d writes before the table was read", firstStart, n)
			}
			s.readable.Store(true)
			time.Sleep(5 * time.Second)
			if s.writes.Load() == 0 {
				t.Errorf("first start %v: no write after the table was read", firstStart)
			}
			cancel()
			wait.Wait()
		})
	}
}
