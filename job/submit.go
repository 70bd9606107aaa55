package job

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"
	"unicode/utf8"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/retry"
	"github.com/daisylb/daisylb/storage"
)

// Submission is a job as the caller sent it.
type Submission struct {
	// ID is the id of the job, unique among the jobs of all accounts; see IDOf.
	ID    string
	Route *contract.Route
	// Account is the client account that the job belongs to, "" if the deployment has none.
	Account string
	Items   []Item
	// Raw is the request body that Items were decoded from.
	Raw []byte
}

// IDOf returns the id under which a job of an account is kept. Ids that callers choose are
// unique within their account only, and a job must not be found by another account. Without
// an account it is the caller's id. Ids that can't be a part of the keys of rows are hashed.
func IDOf(account, id string) string {
	if len(id) > maxIDBytes || strings.Contains(id, keySeparator) || !utf8.ValidString(id) {
		sum := sha256.Sum256([]byte(id))
		id = hex.EncodeToString(sum[:])
	}
	if account == "" {
		return id
	}
	sum := sha256.Sum256([]byte(account))
	return id + "@" + hex.EncodeToString(sum[:accountIDBytes])
}

// maxIDBytes keeps all keys with the id of a job below the limit of a store, 200 bytes.
const maxIDBytes = 128

// accountIDBytes is the number of bytes of an account's hash in the ids of its jobs: two of
// some thousand accounts share it with a probability of less than one in 10^12.
const accountIDBytes = 8

// tokens returns what the items take of a quota.
func (s *Submission) tokens() int64 {
	var sum int64
	for i := range s.Items {
		sum += s.Items[i].quotaTokens()
	}
	return sum
}

const (
	// maxSubmitAttempts bounds the attempts of one Submit, which fail when they
	// conflict with other transactions. submitTimeout bounds the time that a caller
	// waits while the store fails.
	maxSubmitAttempts = 12
	submitTimeout     = 1500 * time.Millisecond
	// quotaRetryAfter is about the time in which a few items complete and free their
	// tokens.
	quotaRetryAfter = time.Second
)

// submitBackoff is the delay between the attempts of one Submit.
var submitBackoff = retry.Backoff{Min: 80 * time.Millisecond, Max: 640 * time.Millisecond}

// Submit accepts a job: its body is stored as an object and its head as a row before
// Submit returns. If this process has no room for the job, any instance runs it that has. A job
// that was accepted before is accepted again without a change.
//
// Errors: code.QuotaExceeded, MemoryExhausted, StoreTooLarge, StoreFull, StoreUnavailable and StoreThrottled when
// the job is not accepted and will not be; code.StoreUnknown when it may have been
// accepted.
func (s *Service) Submit(ctx context.Context, sub Submission) error {
	if s.isKnown(sub.ID) {
		return nil
	}
	if err := s.checkKept(&sub); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	a, startedAt := acceptance{service: s, submission: &sub}, time.Now()
	var err error
	for attempts := range maxSubmitAttempts {
		err = a.attempt(ctx)
		switch code.Of(err) {
		case 0:
			s.options.Log.Info("job accepted", zap.String("job", sub.ID), zap.Int("items", len(sub.Items)), zap.Int64("tokens", sub.tokens()),
				zap.Int64("took", time.Since(startedAt).Milliseconds()), zap.Int("tries", attempts+1))
			return nil
		case code.QuotaExceeded, code.StoreTooLarge, code.StoreFull:
			return a.rejection(err)
		}
		if submitBackoff.Sleep(ctx, attempts) != nil {
			break
		}
	}
	return a.rejection(err)
}

// isKnown reports whether the head of a job has been read or written here.
func (s *Service) isKnown(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.heads[id]
	return ok
}

// acceptance is the state of one Submit.
type acceptance struct {
	service    *Service
	submission *Submission
	// bodyStored is set when the object with the body is stored.
	bodyStored bool
	// reserved is the reservation that this acceptance wrote, nil if none.
	reserved *reservation
	// maybeApplied is set when the transaction that writes the head may have taken
	// effect or may still do so.
	maybeApplied bool
}

// rejection returns the error for the caller. After a transaction whose response was
// lost the error leaves open whether the job was accepted.
func (a *acceptance) rejection(err error) error {
	e := code.From(err)
	if a.maybeApplied {
		return code.Wrap(code.StoreUnknown, err, "the store may have taken the job")
	}
	switch e.Number {
	case code.StoreUnknown, code.StoreConflict:
		// An object and a reservation without a head are no job. The caller gets a
		// time to retry after, not a conflict.
		e = code.Wrap(code.StoreUnavailable, err, "the store did not take the job")
	}
	if e.RetryAfter == 0 {
		e = e.WithRetryAfter(storeRetryAfter)
	}
	return e.WithOutcome(code.NotRun)
}

// attempt accepts the job if it fits into the quota of its route. It makes as few
// sequential calls of the store as possible, since the store may be slow and a caller
// waits.
func (a *acceptance) attempt(ctx context.Context) error {
	if a.service.now() == 0 {
		// Heads and reservations carry the store's clock, which every response has.
		// Without it the acceptance would be recorded at time 0, and the items would
		// count as old as the store and could expire at once.
		if _, _, err := a.service.readHeads(ctx); err != nil {
			return err
		}
	}
	if a.submission.Route.MaxWaitingTokens == 0 {
		if err := a.storeBody(ctx); err != nil {
			return err
		}
		return a.putHead(ctx)
	}
	u, known, err := a.admit(ctx)
	if known || err != nil {
		return err
	}
	var group errgroup.Group
	group.Go(func() error { return a.putHead(ctx) })
	group.Go(func() error {
		a.service.dropStaleReservations(ctx, a.submission.quota(), &u)
		return nil
	})
	return group.Wait()
}

// storeBody stores the submission as an object, if that is not done yet.
func (a *acceptance) storeBody(ctx context.Context) error {
	if a.bodyStored {
		return nil
	}
	err := a.service.options.Store.PutBlob(ctx, blobPrefix+a.submission.ID, a.submission.Raw)
	if err != nil && code.Of(err) != code.StoreConflict {
		return err
	}
	a.bodyStored = true
	return nil
}

// putHead writes the head of the job, whose body must be stored, and starts its run.
func (a *acceptance) putHead(ctx context.Context) error {
	s, sub := a.service, a.submission
	now, part := s.now(), partOfNewJob(sub.ID)
	h := head{
		Route:         sub.Route.ID(),
		Account:       sub.Account,
		Host:          sub.Route.Host,
		Total:         len(sub.Items),
		Tokens:        sub.tokens(),
		AcceptedMS:    now.Milliseconds(),
		GiveUpAfterMS: sub.Route.GiveUpAfter.Milliseconds(),
		Bytes:         loadedBytes(sub.Items),
	}
	claim := s.loaded.claim(h.Bytes)
	taken := !s.isStopping() && s.loaded.tryTake(claim)
	if taken {
		h.Owner = s.options.Process
	}
	page, err := s.options.Store.ApplyRows(ctx, storage.RowTransaction{
		Conditions: []storage.RowCondition{{RowKey: headKey(part, sub.ID)}},
		Puts:       []storage.TableRow{headRow(part, sub.ID, &h)},
	})
	if err != nil && taken {
		s.loaded.release(claim)
	}
	switch code.Of(err) {
	case 0:
		v := versionedHead{h, versionWritten(0, page.Version), part}
		if taken {
			s.startRun(ctx, sub.ID, v, sub.Items, storedProgress{}, claim)
			return nil
		}
		s.options.Log.Info("job waits for an instance with room", zap.String("job", sub.ID), zap.Int64("bytes", h.Bytes), zap.Int64("held_bytes", s.loaded.held()))
		s.mu.Lock()
		s.updateHead(sub.ID, v)
		s.mu.Unlock()
		return nil
	case code.StoreUnknown:
		a.maybeApplied = true
	case code.StoreConflict:
		return a.resolveConflict(ctx, page, err)
	}
	return err
}

// resolveConflict looks for the head of the job among the rows that a failed
// condition returned: an earlier attempt may have written it. It returns err when the
// head is not there.
func (a *acceptance) resolveConflict(ctx context.Context, page storage.RowPage, err error) error {
	for _, r := range page.Rows {
		if r.Table != headTable || r.Key != a.submission.ID || r.Version == 0 || r.Removed {
			continue
		}
		v, decodeErr := decodeHead(r)
		if decodeErr != nil {
			return decodeErr
		}
		s := a.service
		s.mu.Lock()
		s.updateHead(r.Key, v)
		s.mu.Unlock()
		if v.Owner == s.options.Process && !s.runs(r.Key) {
			a.runOrLeave(ctx, v)
		}
		return nil
	}
	return err
}

// runOrLeave runs the job, which this process owns, if there is room for it.
func (a *acceptance) runOrLeave(ctx context.Context, v versionedHead) {
	s, sub := a.service, a.submission
	claim := s.loaded.claim(v.loadedBytes())
	if s.loaded.tryTake(claim) {
		s.startRun(ctx, sub.ID, v, sub.Items, storedProgress{}, claim)
		return
	}
	s.leave(ctx, sub.ID)
}

// runs reports whether this process runs a job.
func (s *Service) runs(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.owned[id]
	return ok
}

func (s *Service) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// now returns the store's clock, extrapolated from its last known value, or 0 when it
// is not known yet.
func (s *Service) now() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clockReadAt.IsZero() {
		return 0
	}
	return s.clock + time.Since(s.clockReadAt)
}
