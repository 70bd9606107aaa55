package job

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// The tokens that wait on a route are those of its open jobs, whose heads are spread
// over the parts, and those of its reservations. Who accepts a job reserves its tokens
// in a row of its own, so that a burst of jobs changes no common row, and counts what was
// reserved before it: what comes later counts this job in its turn. Then it writes the
// head. Reservations that have become jobs are dropped many at a time, and each time the
// mark of the route is changed: heads that are not older than the mark include all jobs
// whose reservations are gone. What ends meanwhile only frees more.
//
// Rounds of calls until a caller has its answer: the reservation beside a first count,
// the second count beside the object, the head.

const (
	// reservationLife is how long tokens stay reserved for a job whose head is not
	// there, because its acceptance broke off or the store did not take it. It is far
	// over submitTime and the time in which the store may still apply a call without an
	// answer.
	reservationLife = 30 * time.Second
	// staleReservations is the number from which they are dropped.
	staleReservations = 32
)

// reservation is a row of a route's gate.
type reservation struct {
	Tokens int64 `json:"tokens"`
	// AtMS is the store's clock.
	AtMS int64 `json:"at_ms"`
	// version is that of the row.
	version uint64
}

// gate is what waits to become jobs of a route: reservations by job, and the version of
// the mark, 0 without one.
type gate struct {
	reserved map[string]reservation
	mark     uint64
}

// markKey is the row that changes with each drop of reservations; its key is the prefix
// of those of reservations, and no prefix of another route's.
func markKey(route string) storage.RowKey {
	return storage.RowKey{Table: gateTable, Part: gatePart, Key: fmt.Sprintf("%016x/", xxhash.Sum64String(route))}
}

func reservationKey(route, job string) storage.RowKey {
	key := markKey(route)
	key.Key += job
	return key
}

// readGate reads the rows of a route as of one moment.
func (s *Service) readGate(ctx context.Context, route string) (gate, error) {
	prefix := markKey(route).Key
	page, err := s.options.Store.GetRows(ctx, gateTable, gatePart, prefix, strings.TrimSuffix(prefix, "/")+"0")
	if err != nil {
		return gate{}, err
	}
	g := gate{reserved: map[string]reservation{}}
	for _, row := range page.Rows {
		if row.Key == prefix {
			g.mark = row.Version
			continue
		}
		r := reservation{version: row.Version}
		if err := json.Unmarshal(row.Value, &r); err != nil {
			return gate{}, code.Wrap(code.Internal, err, "the reservation %q can't be read", row.Key)
		}
		g.reserved[row.Key[len(prefix):]] = r
	}
	if page.More {
		// Only as one moment can they be counted. What is old goes, so that this ends.
		s.dropStale(ctx, route, &count{gate: g})
		return gate{}, code.New(code.StoreThrottled, "%d jobs and more of route %q are being accepted", len(page.Rows), route)
	}
	return g, nil
}

// readHeads reads the heads of all jobs; oldest is the least version of the store at
// which some were read.
func (s *Service) readHeads(ctx context.Context) (heads map[string]versioned, oldest uint64, err error) {
	s.mu.Lock()
	least := s.version
	s.mu.Unlock()
	pages := make([]storage.RowPage, len(parts))
	var group errgroup.Group
	for i, part := range parts {
		group.Go(func() (err error) {
			pages[i], err = storage.ReadRows(ctx, s.options.Store, headTable, part, "", "")
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, 0, err
	}
	heads, oldest = map[string]versioned{}, pages[0].Version
	for _, page := range pages {
		oldest = min(oldest, page.Version)
		s.mu.Lock()
		s.noteClock(page.Now)
		s.mu.Unlock()
		for _, r := range page.Rows {
			if v, err := decodeHead(r); err == nil {
				heads[r.Key] = v
			}
		}
	}
	if oldest < least {
		return nil, 0, code.New(code.StoreUnavailable, "the store answered from the past")
	}
	return heads, oldest, nil
}

// count is what waits on a route as one acceptance sees it.
type count struct {
	heads  map[string]versioned
	oldest uint64
	gate   gate
}

// waiting sums the tokens of a route's open jobs, and of its reservations before a
// version, but for one job.
func (c *count) waiting(route, job string, before uint64, now time.Duration) (sum int64) {
	for id, v := range c.heads {
		if id != job && v.Route == route && v.open() {
			sum += v.Tokens
		}
	}
	for id, r := range c.gate.reserved {
		if id != job && r.version < before && !c.stale(id, now) {
			sum += r.Tokens
		}
	}
	return sum
}

// stale reports whether a reservation holds no tokens any more.
func (c *count) stale(job string, now time.Duration) bool {
	_, accepted := c.heads[job]
	return accepted || now-time.Duration(c.gate.reserved[job].AtMS)*time.Millisecond > reservationLife
}

// admit reserves the job's tokens and stores its body, if it fits into the quota of its
// route, or reports that the job is there already.
//
// Errors: code.QuotaExceeded, and those of the store; after one of these the tokens may
// be reserved, and the next try finds them.
func (a *acceptance) admit(ctx context.Context) (c count, known bool, err error) {
	s, route := a.service, a.submission.Route.ID()
	var group errgroup.Group
	group.Go(func() error { return a.reserve(ctx) })
	group.Go(func() (err error) {
		c.gate, err = s.readGate(ctx, route)
		return err
	})
	group.Go(func() (err error) {
		c.heads, c.oldest, err = s.readHeads(ctx)
		return err
	})
	if err := group.Wait(); err != nil {
		return c, false, err
	}
	if v, ok := c.heads[a.submission.ID]; ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.learn(a.submission.ID, v)
		return c, true, nil
	}
	// Objects of refused jobs would stay: the body is stored when the job fits as far as
	// is known.
	if err := a.fits(ctx, &c, max(a.reserved, c.gate.reserved[a.submission.ID].version)); err != nil {
		return c, false, err
	}
	group.Go(func() (err error) {
		c.gate, err = s.readGate(ctx, route)
		return err
	})
	group.Go(func() error { return a.storeBody(ctx) })
	if err := group.Wait(); err != nil {
		return c, false, err
	}
	own, ok := c.gate.reserved[a.submission.ID]
	if !ok || c.oldest < c.gate.mark {
		return c, false, code.New(code.StoreConflict, "reservations were dropped after the heads were read")
	}
	return c, false, a.fits(ctx, &c, own.version)
}

// reserve writes the reservation of the job, unless a fresh one is there.
func (a *acceptance) reserve(ctx context.Context) error {
	s, sub := a.service, a.submission
	now := s.now()
	value, err := json.Marshal(reservation{Tokens: sub.tokens(), AtMS: now.Milliseconds()})
	if err != nil {
		return code.Wrap(code.Internal, err, "writing the reservation of job %q", sub.ID)
	}
	condition := storage.RowCondition{RowKey: reservationKey(sub.Route.ID(), sub.ID)}
	page, err := s.options.Store.ApplyRows(ctx, storage.RowTransaction{
		Conditions: []storage.RowCondition{condition},
		Puts:       []storage.TableRow{{RowKey: condition.RowKey, Value: value}},
	})
	if code.Of(err) == code.StoreConflict {
		// An acceptance that broke off may have left one that others soon count no more.
		if condition.Version = oldReservation(page.Rows, condition.RowKey, now); condition.Version == 0 {
			return nil
		}
		page, err = s.options.Store.ApplyRows(ctx, storage.RowTransaction{
			Conditions: []storage.RowCondition{condition},
			Puts:       []storage.TableRow{{RowKey: condition.RowKey, Value: value}},
		})
	}
	if err == nil {
		a.reserved = page.Version
	}
	return err
}

// oldReservation returns the version of a reservation among rows that is over half of its
// life, 0 for a fresh one.
func oldReservation(rows []storage.TableRow, key storage.RowKey, now time.Duration) uint64 {
	for _, row := range rows {
		var r reservation
		if row.RowKey == key && json.Unmarshal(row.Value, &r) == nil && now-time.Duration(r.AtMS)*time.Millisecond > reservationLife/2 {
			return row.Version
		}
	}
	return 0
}

// fits refuses the job if it does not fit beside what was reserved before a version. Its
// own reservation is then dropped, if this acceptance made it.
func (a *acceptance) fits(ctx context.Context, c *count, before uint64) error {
	s, sub := a.service, a.submission
	waiting := c.waiting(sub.Route.ID(), sub.ID, before, s.now())
	if waiting+sub.tokens() <= sub.Route.MaxWaitingTokens {
		return nil
	}
	s.options.Log.Info("job refused", zap.String("job", sub.ID), zap.Int64("tokens", sub.tokens()),
		zap.Int64("waiting", waiting), zap.Int64("quota", sub.Route.MaxWaitingTokens), zap.Uint64("store_version", c.oldest))
	a.release(ctx)
	return code.New(code.QuotaExceeded, "%d tokens wait on the route, %d more are over %d", waiting, sub.tokens(), sub.Route.MaxWaitingTokens).WithRetryAfter(quotaHint)
}

// release drops the reservation of a job that is not accepted, if this acceptance made it
// and no head may follow.
func (a *acceptance) release(ctx context.Context) {
	if a.reserved == 0 || a.sent {
		return
	}
	key := reservationKey(a.submission.Route.ID(), a.submission.ID)
	_, _ = a.service.options.Store.ApplyRows(ctx, storage.RowTransaction{
		Conditions: []storage.RowCondition{{RowKey: key, Version: a.reserved}},
		Removes:    []storage.RowKey{key},
	})
}

// dropStale drops the reservations that hold no tokens any more, when there are many. One
// that another has dropped or made anew since keeps all of them for the next time.
func (s *Service) dropStale(ctx context.Context, route string, c *count) {
	t, now := storage.RowTransaction{}, s.now()
	for id, r := range c.gate.reserved {
		if key := reservationKey(route, id); c.stale(id, now) && len(t.Removes) < staleReservations {
			t.Conditions = append(t.Conditions, storage.RowCondition{RowKey: key, Version: r.version})
			t.Removes = append(t.Removes, key)
		}
	}
	if len(t.Removes) < staleReservations {
		return
	}
	t.Puts = []storage.TableRow{{RowKey: markKey(route), Value: []byte("{}")}}
	_, _ = s.options.Store.ApplyRows(ctx, t)
}
