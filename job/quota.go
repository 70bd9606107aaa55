package job

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// The tokens that wait on a route are those of its open jobs, whose heads are spread
// over the parts, and those of its reservations. Who accepts a job first reserves its
// tokens in the route's gate, which no two instances change at once, and then writes its
// head; the next to change the gate drops the reservations that became jobs. What ends
// meanwhile only frees more.

// reservationLife is how long tokens stay reserved for a job whose head is not there,
// because its acceptance broke off or the store did not take it. It is far over
// submitTime and the time in which the store may still apply a call without an answer.
const reservationLife = 30 * time.Second

// reservation is what a gate holds for a job that is being accepted.
type reservation struct {
	Job    string `json:"job"`
	Tokens int64  `json:"tokens"`
	// AtMS is the store's clock.
	AtMS int64 `json:"at_ms"`
}

// gate is the row of a route.
type gate struct {
	Reserved []reservation `json:"reserved,omitempty"`
}

func gateKey(route string) storage.RowKey {
	return storage.RowKey{Table: gateTable, Part: gatePart, Key: route}
}

// decodeGate reads a gate. Versions before reservations wrote the id of the last job.
func decodeGate(value []byte) gate {
	var g gate
	if json.Unmarshal(value, &g) != nil {
		return gate{}
	}
	return g
}

// reserve takes the job's tokens out of the quota of its route, and reports whether the
// job is there already.
//
// Errors: code.QuotaExceeded, and those of the store; after one of these the tokens may
// be reserved.
func (a *acceptance) reserve(ctx context.Context) (known bool, err error) {
	s, sub := a.service, a.submission
	key := gateKey(sub.Route.ID())
	page, err := s.options.Store.GetRows(ctx, gateTable, gatePart, key.Key, key.Key+"\x00")
	if err != nil {
		return false, err
	}
	condition, present := storage.RowCondition{RowKey: key}, gate{}
	if len(page.Rows) > 0 {
		condition.Version, present = page.Rows[0].Version, decodeGate(page.Rows[0].Value)
	}
	// The heads are read after the gate: a reservation that was dropped from it has a
	// head among them.
	heads, err := s.readHeads(ctx, page.Version)
	if err != nil {
		return false, err
	}
	if v, ok := heads[sub.ID]; ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.learn(sub.ID, v)
		return true, nil
	}
	waiting := waitingTokens(heads, sub.Route.ID())
	next := present.without(heads, sub.ID, page.Now)
	for _, r := range next.Reserved {
		waiting += r.Tokens
	}
	if waiting+sub.tokens() > sub.Route.MaxWaitingTokens {
		s.options.Log.Info("job refused", zap.String("job", sub.ID), zap.Int64("tokens", sub.tokens()),
			zap.Int64("waiting", waiting), zap.Int64("quota", sub.Route.MaxWaitingTokens), zap.Uint64("store_version", page.Version))
		return false, code.New(code.QuotaExceeded, "%d tokens wait on the route, %d more are over %d", waiting, sub.tokens(), sub.Route.MaxWaitingTokens).WithRetryAfter(quotaHint)
	}
	next.Reserved = append(next.Reserved, reservation{Job: sub.ID, Tokens: sub.tokens(), AtMS: page.Now.Milliseconds()})
	value, err := json.Marshal(next)
	if err != nil {
		return false, code.Wrap(code.Internal, err, "writing the gate of route %q", key.Key)
	}
	_, err = s.options.Store.ApplyRows(ctx, storage.RowTransaction{
		Conditions: []storage.RowCondition{condition},
		Puts:       []storage.TableRow{{RowKey: key, Value: value}},
	})
	return false, err
}

// readHeads reads the heads of all jobs, none of them older than a version.
func (s *Service) readHeads(ctx context.Context, least uint64) (map[string]versioned, error) {
	s.mu.Lock()
	least = max(least, s.version)
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
		return nil, err
	}
	heads := map[string]versioned{}
	for _, page := range pages {
		if page.Version < least {
			return nil, code.New(code.StoreUnavailable, "the store answered from the past")
		}
		s.mu.Lock()
		s.noteClock(page.Now)
		s.mu.Unlock()
		for _, r := range page.Rows {
			if v, err := decodeHead(r); err == nil {
				heads[r.Key] = v
			}
		}
	}
	return heads, nil
}

// waitingTokens sums the tokens of the open jobs of a route.
func waitingTokens(heads map[string]versioned, route string) (sum int64) {
	for _, v := range heads {
		if v.Route == route && v.open() {
			sum += v.Tokens
		}
	}
	return sum
}

// without returns the gate without the reservations of a job, of those that have become
// jobs, and of those that are older than reservationLife.
func (g gate) without(heads map[string]versioned, job string, now time.Duration) gate {
	var left gate
	for _, r := range g.Reserved {
		_, accepted := heads[r.Job]
		old := now-time.Duration(r.AtMS)*time.Millisecond > reservationLife
		if !accepted && !old && r.Job != job {
			left.Reserved = append(left.Reserved, r)
		}
	}
	return left
}
