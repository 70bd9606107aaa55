package job

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/storage"
)

// Submission is a job as it was sent.
type Submission struct {
	ID    string
	Route *contract.Route
	Host  string
	Items []Item
	// Raw is the body that Items were read from.
	Raw []byte
}

func (s *Submission) tokens() int64 {
	var sum int64
	for i := range s.Items {
		sum += s.Items[i].Tokens
	}
	return sum
}

const (
	// submitTries bounds the transactions that lose against others, submitTime
	// the time for which a caller is held while the store fails.
	submitTries = 12
	submitTime  = 1500 * time.Millisecond
	submitPause = 40 * time.Millisecond
	// quotaHint is about the time in which a few items end.
	quotaHint = time.Second
)

// Submit accepts a job: its bodies are an object, its head a row, both stored
// before Submit returns. A job that was accepted before is accepted again.
//
// Errors: code.QuotaExceeded, StoreUnavailable and StoreThrottled when nothing
// of the job is kept or ever will be; code.StoreUnknown when it may be.
func (s *Service) Submit(ctx context.Context, sub Submission) error {
	if s.isKnown(sub.ID) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, submitTime)
	defer cancel()
	a, began := acceptance{service: s, submission: &sub}, time.Now()
	var err error
	for try := range submitTries {
		err = a.try(ctx)
		switch code.Of(err) {
		case 0:
			s.options.Log.Info("job accepted", zap.String("job", sub.ID), zap.Int("items", len(sub.Items)), zap.Int64("tokens", sub.tokens()),
				zap.Int64("took", time.Since(began).Milliseconds()), zap.Int("tries", try+1))
			return nil
		case code.QuotaExceeded, code.StoreTooLarge:
			return a.refusal(err)
		}
		select {
		case <-ctx.Done():
			return a.refusal(err)
		case <-time.After(submitPause):
		}
	}
	return a.refusal(err)
}

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
	stored     bool
	// reserved is the version of the reservation that this acceptance made, 0 without.
	reserved uint64
	// sent is set when a transaction may have taken effect or may do so later.
	sent bool
}

// refusal returns the error to the caller. After a transaction whose answer was
// lost nothing may be said about the job.
func (a *acceptance) refusal(err error) error {
	e := code.From(err)
	if a.sent {
		return code.Wrap(code.StoreUnknown, err, "the store may have taken the job")
	}
	switch e.Number {
	case code.StoreUnknown, code.StoreConflict:
		// Without a head an object and a reservation are no job; and a caller is told
		// when to come back, not of a race.
		e = code.Wrap(code.StoreUnavailable, err, "the store did not take the job")
	}
	if e.RetryAfter == 0 {
		e = e.WithRetryAfter(storeHint)
	}
	return e.WithOutcome(code.NotRun)
}

// try adds the job if it fits into the quota of its route. A slow store is asked for as
// little as can be one after the other, since a caller waits.
func (a *acceptance) try(ctx context.Context) error {
	if a.service.now() == 0 {
		// Heads and reservations bear the store's clock, which any answer tells. Without
		// it the items of a job would count as old as the store.
		if _, _, err := a.service.readHeads(ctx); err != nil {
			return err
		}
	}
	if a.submission.Route.MaxWaitingTokens == 0 {
		if err := a.storeBody(ctx); err != nil {
			return err
		}
		return a.put(ctx)
	}
	c, known, err := a.admit(ctx)
	if known || err != nil {
		return err
	}
	var group errgroup.Group
	group.Go(func() error { return a.put(ctx) })
	group.Go(func() error {
		a.service.dropStale(ctx, a.submission.Route.ID(), &c)
		return nil
	})
	return group.Wait()
}

// storeBody stores the submission as an object, once.
func (a *acceptance) storeBody(ctx context.Context) error {
	if a.stored {
		return nil
	}
	err := a.service.options.Store.PutBlob(ctx, blobPrefix+a.submission.ID, a.submission.Raw)
	if err != nil && code.Of(err) != code.StoreConflict {
		return err
	}
	a.stored = true
	return nil
}

// put writes the head of the job, whose body is stored.
func (a *acceptance) put(ctx context.Context) error {
	s, sub := a.service, a.submission
	now, part := s.now(), partOf(sub.ID)
	h := head{
		Route:      sub.Route.ID(),
		Host:       sub.Host,
		Total:      len(sub.Items),
		Tokens:     sub.tokens(),
		AcceptedMS: now.Milliseconds(),
		KeepMS:     sub.Route.Keep.Milliseconds(),
		Owner:      s.options.Process,
	}
	if s.isStopping() {
		h.Owner = ""
	}
	page, err := s.options.Store.ApplyRows(ctx, storage.RowTransaction{
		Conditions: []storage.RowCondition{{RowKey: headKey(part, sub.ID)}},
		Puts:       []storage.TableRow{headRow(part, sub.ID, &h)},
	})
	switch code.Of(err) {
	case 0:
		s.begin(sub.ID, versioned{h, page.Version, part}, sub.Items, nil)
		return nil
	case code.StoreUnknown:
		a.sent = true
	case code.StoreConflict:
		return a.lostRace(page, err)
	}
	return err
}

// lostRace looks at the rows that the conditions asked for: the job may be there
// by an earlier try.
func (a *acceptance) lostRace(page storage.RowPage, err error) error {
	for _, r := range page.Rows {
		if r.Table != headTable || r.Key != a.submission.ID || r.Version == 0 || r.Removed {
			continue
		}
		v, decodeErr := decodeHead(r)
		if decodeErr != nil {
			return decodeErr
		}
		a.service.mu.Lock()
		a.service.learn(r.Key, v)
		a.service.mu.Unlock()
		if v.Owner == a.service.options.Process {
			a.service.begin(r.Key, v, a.submission.Items, nil)
		}
		return nil
	}
	return err
}

func (s *Service) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// now returns the store's clock as far as it is known.
func (s *Service) now() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clockAt.IsZero() {
		return 0
	}
	return s.clock + time.Since(s.clockAt)
}
