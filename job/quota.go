package job

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// The quota of a route bounds the tokens of its open jobs and of its reservations, for each
// client account by itself if the deployment has accounts. Heads of
// jobs are spread over several parts of the store, so one transaction can't check the sum.
// A job is accepted in these steps:
//
//  1. Its tokens are reserved in a row of its own, so that concurrent acceptances do not
//     conflict on a shared row.
//  2. The tokens of open jobs and of reservations with an earlier version are summed. A
//     later reservation counts this one in the same way.
//  3. If the sum is within the quota, the head is written.
//
// Reservations whose heads are written are removed in batches. The same transaction writes
// the generation row of the route. Heads that were read at or after the version of that row
// include all jobs whose reservations were removed; heads that were read earlier are read
// again. A job that completes between the reads only makes the sum too high.
//
// A caller waits for three rounds of store calls: the reservation together with the first
// reads, the second read of the reservations together with the write of the object, and
// the write of the head.

const (
	// reservationTTL is how long tokens stay reserved for a job without a head,
	// because its acceptance was aborted or the store rejected it. It is far above
	// submitTimeout plus the time in which the store may still apply a call whose
	// response was lost.
	reservationTTL = 30 * time.Second
	// staleReservationBatch is the number of stale reservations that one transaction
	// removes. Fewer are left in place.
	staleReservationBatch = 32
)

// quotaOf returns the id of the quota that bounds the jobs of an account on a route.
func quotaOf(route, account string) string {
	if account == "" {
		return route
	}
	// Routes contain no line breaks.
	return route + "\n" + account
}

// quota returns the id of the job's quota.
func (s *Submission) quota() string { return quotaOf(s.Route.ID(), s.Account) }

// reservation holds the tokens of one job that is being accepted.
type reservation struct {
	Tokens int64 `json:"tokens"`
	// ReservedAtMS is the store's clock at the reservation.
	ReservedAtMS int64 `json:"at_ms"`
	// version is the version of the row.
	version uint64
}

// reservationSet has the reservations of a quota by job, and the version of its
// generation row, 0 without one.
type reservationSet struct {
	byJob      map[string]reservation
	generation uint64
}

// generationKey returns the key of the row that changes whenever stale reservations
// of the quota are removed. The key is the prefix of the reservations of this quota
// and of no other.
func generationKey(quota string) storage.RowKey {
	return storage.RowKey{Table: reservationTable, Part: reservationPart, Key: fmt.Sprintf("%016x/", xxhash.Sum64String(quota))}
}

// reservationKey returns the key of the reservation of a job.
func reservationKey(quota, job string) storage.RowKey {
	key := generationKey(quota)
	key.Key += job
	return key
}

// readReservations reads the reservations of a quota as of one version of the store. Only
// one page shows all of them so. Stale ones are removed until they fit into a page.
//
// Errors: code.StoreThrottled when there are too many for that, and those of the
// store.
func (s *Service) readReservations(ctx context.Context, quota string) (reservationSet, error) {
	prefix := generationKey(quota).Key
	for {
		page, err := s.options.Store.GetRows(ctx, reservationTable, reservationPart, prefix, strings.TrimSuffix(prefix, "/")+"0")
		if err != nil {
			return reservationSet{}, err
		}
		set := s.decodeReservations(prefix, page.Rows)
		if !page.More {
			return set, nil
		}
		if !s.dropStaleReservations(ctx, quota, &quotaUsage{reservations: set}) {
			return reservationSet{}, code.New(code.StoreThrottled, "%d jobs and more of quota %q are being accepted", len(page.Rows), quota)
		}
	}
}

// decodeReservations decodes the rows whose keys begin with the prefix of a quota.
func (s *Service) decodeReservations(prefix string, rows []storage.TableRow) reservationSet {
	set := reservationSet{byJob: map[string]reservation{}}
	for _, row := range rows {
		if row.Key == prefix {
			set.generation = row.Version
			continue
		}
		var r reservation
		if err := json.Unmarshal(row.Value, &r); err != nil {
			// Without a time it counts as expired and is removed with the stale ones.
			s.options.Log.Warn("reservation that can't be read not counted", zap.String("key", row.Key), zap.Error(err))
			r = reservation{}
		}
		r.version = row.Version
		set.byJob[row.Key[len(prefix):]] = r
	}
	return set
}

// allHeads are the heads of all jobs. oldest is the lowest version of the store at which some of
// them were read.
type allHeads struct {
	heads  map[string]versionedHead
	oldest uint64
}

// readHeads reads the heads of all jobs. Calls at the same time share a read. It may have begun
// before a call: the generation row of a quota shows whether that is too early.
func (s *Service) readHeads(ctx context.Context) (heads map[string]versionedHead, oldest uint64, err error) {
	shared := s.headReads.DoChan("", func() (any, error) {
		// The read is not that of the first caller alone, and may outlast it.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), submitTimeout)
		defer cancel()
		return s.readAllHeads(ctx)
	})
	select {
	case <-ctx.Done():
		return nil, 0, code.Wrap(code.StoreUnavailable, ctx.Err(), "the jobs were not read in time")
	case r := <-shared:
		if r.Err != nil {
			return nil, 0, r.Err
		}
		all := r.Val.(allHeads)
		return all.heads, all.oldest, nil
	}
}

// readAllHeads reads the heads of all jobs, page by page.
func (s *Service) readAllHeads(ctx context.Context) (allHeads, error) {
	s.mu.Lock()
	minVersion := s.newestVersion
	s.mu.Unlock()
	var mu sync.Mutex
	all := allHeads{heads: map[string]versionedHead{}, oldest: math.MaxUint64}
	var group errgroup.Group
	for _, part := range parts {
		group.Go(func() error {
			return s.eachHeadPage(ctx, part, func(page storage.RowPage) {
				mu.Lock()
				defer mu.Unlock()
				all.oldest = min(all.oldest, page.Version)
				for _, r := range page.Rows {
					if v, err := decodeHead(r); err == nil {
						all.heads[r.Key] = v.compact()
					}
				}
			})
		})
	}
	if err := group.Wait(); err != nil {
		return allHeads{}, err
	}
	if all.oldest < minVersion {
		return allHeads{}, code.New(code.StoreUnavailable, "the store answered from the past")
	}
	return all, nil
}

// eachHeadPage calls f with the pages of the heads of a part.
func (s *Service) eachHeadPage(ctx context.Context, part string, f func(storage.RowPage)) error {
	from := ""
	for {
		page, err := s.options.Store.GetRows(ctx, headTable, part, from, "")
		if err != nil {
			return err
		}
		s.mu.Lock()
		s.updateClock(page.Now)
		s.mu.Unlock()
		f(page)
		if !page.More {
			return nil
		}
		from = storage.NextKey(page.Rows)
	}
}

// quotaUsage is what one acceptance has read of the tokens of a quota.
type quotaUsage struct {
	heads         map[string]versionedHead
	oldestVersion uint64
	reservations  reservationSet
}

// waitingTokens returns the tokens of a quota's open jobs and of its reservations
// before a version, except those of one job.
func (u *quotaUsage) waitingTokens(quota, job string, beforeVersion uint64, now time.Duration) (sum int64) {
	for id, v := range u.heads {
		if id != job && quotaOf(v.Route, v.Account) == quota && v.open() {
			sum += v.Tokens
		}
	}
	for id, r := range u.reservations.byJob {
		if id != job && r.version < beforeVersion && !u.stale(id, now) {
			sum += r.Tokens
		}
	}
	return sum
}

// stale reports whether the reservation of a job no longer counts, because the job
// has a head or the reservation has expired.
func (u *quotaUsage) stale(job string, now time.Duration) bool {
	_, accepted := u.heads[job]
	return accepted || now-time.Duration(u.reservations.byJob[job].ReservedAtMS)*time.Millisecond > reservationTTL
}

// admit reserves the tokens of the job and stores its body if the job fits into the
// quota of its route. known reports that the job was accepted before.
//
// Errors: code.QuotaExceeded, and those of the store. After one of the store the
// tokens may be reserved; the next attempt finds the reservation.
func (a *acceptance) admit(ctx context.Context) (u quotaUsage, known bool, err error) {
	s, quota := a.service, a.submission.quota()
	var group errgroup.Group
	group.Go(func() error { return a.reserveTokens(ctx) })
	group.Go(func() (err error) {
		u.reservations, err = s.readReservations(ctx, quota)
		return err
	})
	group.Go(func() (err error) {
		u.heads, u.oldestVersion, err = s.readHeads(ctx)
		return err
	})
	if err := group.Wait(); err != nil {
		return u, false, err
	}
	if v, ok := u.heads[a.submission.ID]; ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.updateHead(a.submission.ID, v)
		return u, true, nil
	}
	// The objects of rejected jobs would stay, so the body is stored only after a
	// first check has passed.
	// If the own reservation is not among those that were read, all of them are earlier.
	before := uint64(math.MaxUint64)
	if own, ok := u.reservations.byJob[a.submission.ID]; ok {
		before = own.version
	}
	if err := a.checkQuota(ctx, &u, before); err != nil {
		return u, false, err
	}
	group.Go(func() (err error) {
		u.reservations, err = s.readReservations(ctx, quota)
		return err
	})
	group.Go(func() error { return a.storeBody(ctx) })
	if err := group.Wait(); err != nil {
		return u, false, err
	}
	own, ok := u.reservations.byJob[a.submission.ID]
	if !ok || u.oldestVersion < u.reservations.generation {
		return u, false, code.New(code.StoreConflict, "reservations were dropped after the heads were read")
	}
	return u, false, a.checkQuota(ctx, &u, own.version)
}

// reserveTokens writes the reservation of the job, unless a recent one exists.
func (a *acceptance) reserveTokens(ctx context.Context) error {
	s, sub := a.service, a.submission
	now := s.now()
	written := &reservation{Tokens: sub.tokens(), ReservedAtMS: now.Milliseconds()}
	value, err := json.Marshal(written)
	if err != nil {
		return code.Wrap(code.Internal, err, "writing the reservation of job %q", sub.ID)
	}
	condition := storage.RowCondition{RowKey: reservationKey(sub.quota(), sub.ID)}
	page, err := s.options.Store.ApplyRows(ctx, storage.RowTransaction{
		Conditions: []storage.RowCondition{condition},
		Puts:       []storage.TableRow{{RowKey: condition.RowKey, Value: value}},
	})
	if code.Of(err) == code.StoreConflict {
		// An aborted acceptance may have left a reservation that will soon expire.
		if condition.Version = agedReservation(page.Rows, condition.RowKey, now); condition.Version == 0 {
			return nil
		}
		_, err = s.options.Store.ApplyRows(ctx, storage.RowTransaction{
			Conditions: []storage.RowCondition{condition},
			Puts:       []storage.TableRow{{RowKey: condition.RowKey, Value: value}},
		})
	}
	if err == nil {
		a.reserved = written
	}
	return err
}

// agedReservation returns the version of the reservation with a key among rows when
// it is older than half of reservationTTL, and 0 otherwise.
func agedReservation(rows []storage.TableRow, key storage.RowKey, now time.Duration) uint64 {
	for _, row := range rows {
		var r reservation
		if row.RowKey == key && json.Unmarshal(row.Value, &r) == nil && now-time.Duration(r.ReservedAtMS)*time.Millisecond > reservationTTL/2 {
			return row.Version
		}
	}
	return 0
}

// checkQuota returns code.QuotaExceeded when the job does not fit beside the open
// jobs and the reservations before a version. It then removes the reservation of the
// job if this acceptance wrote it.
func (a *acceptance) checkQuota(ctx context.Context, u *quotaUsage, beforeVersion uint64) error {
	s, sub := a.service, a.submission
	waiting := u.waitingTokens(sub.quota(), sub.ID, beforeVersion, s.now())
	if waiting+sub.tokens() <= sub.Route.MaxWaitingTokens {
		return nil
	}
	s.options.Log.Info("job refused", zap.String("job", sub.ID), zap.Int64("tokens", sub.tokens()),
		zap.Int64("waiting", waiting), zap.Int64("quota", sub.Route.MaxWaitingTokens), zap.Uint64("store_version", u.oldestVersion))
	a.releaseReservation(ctx, u)
	return code.New(code.QuotaExceeded, "%d tokens wait on the route, %d more are over %d", waiting, sub.tokens(), sub.Route.MaxWaitingTokens).WithRetryAfter(quotaRetryAfter)
}

// releaseReservation removes the reservation of a job that is rejected, if this
// acceptance wrote it and no head may still be written.
func (a *acceptance) releaseReservation(ctx context.Context, u *quotaUsage) {
	if a.reserved == nil || a.maybeApplied {
		return
	}
	id, s := a.submission.ID, a.service
	present, err := u.reservations.byJob[id], error(nil)
	if !a.wrote(present) {
		// The reservations were read before it was written.
		present, err = s.readReservation(ctx, a.submission.quota(), id)
	}
	if err == nil && a.wrote(present) {
		key := reservationKey(a.submission.quota(), id)
		_, err = s.options.Store.ApplyRows(ctx, storage.RowTransaction{
			Conditions: []storage.RowCondition{{RowKey: key, Version: present.version}},
			Removes:    []storage.RowKey{key},
		})
	}
	if err != nil {
		s.options.Log.Info("reservation not removed", zap.String("job", id), zap.Uint64("condition", present.version), zap.Error(err))
	}
}

// readReservation reads the reservation of a job, the zero value if there is none.
func (s *Service) readReservation(ctx context.Context, quota, id string) (reservation, error) {
	key := reservationKey(quota, id)
	page, err := s.options.Store.GetRows(ctx, key.Table, key.Part, key.Key, key.Key+"\x00")
	return s.decodeReservations(generationKey(quota).Key, page.Rows).byJob[id], err
}

// wrote reports whether a reservation that was read is the one that this acceptance wrote.
func (a *acceptance) wrote(r reservation) bool {
	return r.version != 0 && r.Tokens == a.reserved.Tokens && r.ReservedAtMS == a.reserved.ReservedAtMS
}

// dropStaleReservations removes a batch of stale reservations and writes the
// generation row, when there are enough of them. The transaction fails if one of them
// was removed or renewed since it was read; all are then left for the next call. It
// reports whether a batch was removed.
func (s *Service) dropStaleReservations(ctx context.Context, quota string, u *quotaUsage) bool {
	t, now := storage.RowTransaction{}, s.now()
	for id, r := range u.reservations.byJob {
		if key := reservationKey(quota, id); u.stale(id, now) && len(t.Removes) < staleReservationBatch {
			t.Conditions = append(t.Conditions, storage.RowCondition{RowKey: key, Version: r.version})
			t.Removes = append(t.Removes, key)
		}
	}
	if len(t.Removes) < staleReservationBatch {
		return false
	}
	t.Puts = []storage.TableRow{{RowKey: generationKey(quota), Value: []byte("{}")}}
	_, err := s.options.Store.ApplyRows(ctx, t)
	return err == nil
}
