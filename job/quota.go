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
//
// Rounds of calls until a caller has its answer: the reads, the reservation beside the
// object, the head.

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

// quota returns the change of the gate that reserves the job's tokens, or reports that
// the job is there already.
//
// Errors: code.QuotaExceeded, and those of the store.
func (a *acceptance) quota(ctx context.Context) (change storage.RowTransaction, known bool, err error) {
	s, sub := a.service, a.submission
	key := gateKey(sub.Route.ID())
	condition, present, heads, err := s.readQuota(ctx, key)
	if err != nil {
		return change, false, err
	}
	if v, ok := heads[sub.ID]; ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.learn(sub.ID, v)
		return change, true, nil
	}
	now := s.now()
	waiting, next := waitingTokens(heads, sub.Route.ID()), present.without(heads, sub.ID, now)
	for _, r := range next.Reserved {
		waiting += r.Tokens
	}
	if waiting+sub.tokens() > sub.Route.MaxWaitingTokens {
		s.options.Log.Info("job refused", zap.String("job", sub.ID), zap.Int64("tokens", sub.tokens()),
			zap.Int64("waiting", waiting), zap.Int64("quota", sub.Route.MaxWaitingTokens), zap.Uint64("gate_version", condition.Version))
		return change, false, code.New(code.QuotaExceeded, "%d tokens wait on the route, %d more are over %d", waiting, sub.tokens(), sub.Route.MaxWaitingTokens).WithRetryAfter(quotaHint)
	}
	next.Reserved = append(next.Reserved, reservation{Job: sub.ID, Tokens: sub.tokens(), AtMS: now.Milliseconds()})
	value, err := json.Marshal(next)
	if err != nil {
		return change, false, code.Wrap(code.Internal, err, "writing the gate of route %q", key.Key)
	}
	return storage.RowTransaction{
		Conditions: []storage.RowCondition{condition},
		Puts:       []storage.TableRow{{RowKey: key, Value: value}},
	}, false, nil
}

// reserve makes the change. After an error the tokens may be reserved, and the job's
// next try finds them or makes the change anew.
func (a *acceptance) reserve(ctx context.Context, change storage.RowTransaction) error {
	_, err := a.service.options.Store.ApplyRows(ctx, change)
	return err
}

// readQuota reads a gate and the heads of all jobs at once. The heads are not older than
// the gate's last change, so that what it dropped from the reservations is among them.
func (s *Service) readQuota(ctx context.Context, key storage.RowKey) (condition storage.RowCondition, present gate, heads map[string]versioned, err error) {
	condition.RowKey = key
	var page storage.RowPage
	var oldest uint64
	var group errgroup.Group
	group.Go(func() (err error) {
		page, err = s.options.Store.GetRows(ctx, gateTable, gatePart, key.Key, key.Key+"\x00")
		return err
	})
	group.Go(func() (err error) {
		heads, oldest, err = s.readHeads(ctx)
		return err
	})
	if err := group.Wait(); err != nil {
		return condition, present, nil, err
	}
	if len(page.Rows) > 0 {
		condition.Version, present = page.Rows[0].Version, decodeGate(page.Rows[0].Value)
	}
	if oldest < condition.Version {
		return condition, present, nil, code.New(code.StoreConflict, "the gate changed after the heads were read")
	}
	return condition, present, heads, nil
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
