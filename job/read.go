package job

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// maxReadBytes bounds the texts of one answer.
const maxReadBytes = 900 << 10

// Results returns the number of items of a job and its results from a position
// on, at least one if there is one. It waits up to wait for a result.
//
// Errors: code.JobUnknown, and those of the store.
func (s *Service) Results(ctx context.Context, id string, after int, wait time.Duration) (int, []Result, error) {
	deadline := time.Now().Add(wait)
	for {
		v, err := s.find(ctx, id)
		if err != nil {
			return 0, nil, unread(err)
		}
		if after < v.Listed {
			results, err := s.listed(ctx, v.part, id, after, v.Listed)
			return v.Total, results, unread(err)
		}
		left := time.Until(deadline)
		if left <= 0 || !v.open() {
			return v.Total, nil, nil
		}
		if !s.await(ctx, id, v.version, left) {
			return v.Total, nil, nil
		}
	}
}

// unread makes an error of the store one that a reader may take for "ask again".
func unread(err error) error {
	if err == nil || code.Of(err) == code.JobUnknown {
		return err
	}
	return code.Wrap(code.StoreUnavailable, err, "the store can't be read").WithRetryAfter(storeHint)
}

// await waits for a newer head and reports whether there is one.
func (s *Service) await(ctx context.Context, id string, version uint64, left time.Duration) bool {
	s.mu.Lock()
	if s.heads[id].version != version {
		s.mu.Unlock()
		return true
	}
	changed := s.change(id)
	s.mu.Unlock()
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// listed returns results from a position on, out of memory or of the store.
func (s *Service) listed(ctx context.Context, part, id string, after, end int) ([]Result, error) {
	s.mu.Lock()
	have := s.results.from(id, after, maxReadBytes)
	s.mu.Unlock()
	if len(have) > 0 {
		return have, nil
	}
	page, err := storage.ReadRows(ctx, s.options.Store, resultTable, part, pieceStart(id, after), pieceStart(id, end))
	if err != nil {
		return nil, err
	}
	numbers, values, err := joinPieces(page.Rows)
	if err != nil {
		return nil, err
	}
	var results []Result
	for i, n := range numbers {
		var r Result
		if err := json.Unmarshal(values[i], &r); err != nil || n != after+i {
			return nil, code.New(code.Internal, "result %d of job %q can't be read", after+i, id)
		}
		results = append(results, r)
	}
	if len(results) == 0 {
		return nil, code.New(code.StoreUnavailable, "the store has no result %d of job %q yet", after, id)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results.add(id, after, results)
	return s.results.limit(results, maxReadBytes), nil
}

func pieceStart(id string, n int) string {
	rows := piecesOf("", "", id, n, 0)
	return rows[0].Key
}

// Body returns the body of an item of a job that goes on.
//
// Errors: code.JobUnknown, and those of the store.
func (s *Service) Body(ctx context.Context, id, item string) ([]byte, error) {
	v, err := s.find(ctx, id)
	if err != nil {
		return nil, unread(err)
	}
	if v.Ended {
		return nil, code.New(code.JobUnknown, "job %q has ended", id)
	}
	s.mu.Lock()
	r := s.owned[id]
	s.mu.Unlock()
	var items []Item
	if r != nil {
		items = r.items
	} else if items, err = s.load(ctx, id); err != nil {
		return nil, unread(err)
	}
	for i := range items {
		if items[i].ID == item {
			return items[i].Body, nil
		}
	}
	return nil, code.New(code.JobUnknown, "job %q has no item %q", id, item)
}

// endTries bounds the transactions of one End, endTime its time.
const (
	endTime  = 3 * time.Second
	endPause = 60 * time.Millisecond
)

// End stops a job: what is listed stays, nothing more has to run. It may be
// repeated.
//
// Errors: code.JobUnknown, and code.StoreUnknown when the store has not said
// that the job is ended.
func (s *Service) End(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, endTime)
	defer cancel()
	for {
		err := s.tryEnd(ctx, id)
		if err == nil {
			s.options.Log.Info("job ended", zap.String("job", id))
			return nil
		}
		if code.Of(err) == code.JobUnknown {
			return err
		}
		select {
		case <-ctx.Done():
			return code.Wrap(code.StoreUnknown, err, "the store has not taken the end of the job")
		case <-time.After(endPause):
		}
	}
}

func (s *Service) tryEnd(ctx context.Context, id string) error {
	v, err := s.find(ctx, id)
	if err != nil || !v.open() {
		return err
	}
	next := v.head
	next.Ended = true
	page, err := s.options.Store.ApplyRows(ctx, storage.RowTransaction{
		Conditions: []storage.RowCondition{{RowKey: headKey(v.part, id), Version: v.version}},
		Puts:       []storage.TableRow{headRow(v.part, id, &next)},
	})
	if code.Of(err) == code.StoreConflict {
		s.learnRows(page.Rows)
	}
	if err == nil {
		s.mu.Lock()
		s.learn(id, versioned{next, page.Version, v.part})
		s.mu.Unlock()
	}
	return err
}
