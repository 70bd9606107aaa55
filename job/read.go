package job

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/feed"
	"github.com/daisylb/daisylb/storage"
)

// maxReadBytes bounds the results in one response, unless its first result alone is
// longer.
const maxReadBytes = 900 << 10

// Results returns the number of items of a job and its results from a position on, at
// least one if there is one. It waits up to wait for a result.
//
// Errors: code.JobUnknown, code.MemoryExhausted, and code.StoreUnavailable when the store can't
// be read or when there may be a result of which this instance has not learned yet.
func (s *Service) Results(ctx context.Context, id string, after int, wait time.Duration) (int, []Result, error) {
	deadline := time.Now().Add(wait)
	for {
		v, err := s.findHead(ctx, id)
		if err != nil {
			return 0, nil, readError(err)
		}
		if after < v.Listed {
			results, err := s.readResults(ctx, id, after, &v)
			return v.Total, results, readError(err)
		}
		if !v.open() {
			return v.Total, nil, nil
		}
		remaining := time.Until(deadline)
		if remaining > 0 && s.waitForChange(ctx, id, v.version, remaining) {
			continue
		}
		if s.followsLate() {
			err := code.New(code.StoreUnavailable, "changes of job %q may not be known here yet", id)
			return 0, nil, err.WithRetryAfter(storeRetryAfter)
		}
		return v.Total, nil, nil
	}
}

// maxFollowDelay is the time that one poll of the feed may take beyond its timeout.
const maxFollowDelay = 500 * time.Millisecond

// followsLate reports whether heads may have changed for longer than it takes to learn
// that in ordinary operation.
func (s *Service) followsLate() bool {
	age, ok := s.follower.Age()
	return !ok || age > feed.DefaultPollTimeout+s.feedInterval()+maxFollowDelay
}

// readError turns an error of the store into code.StoreUnavailable, so that the
// reader retries. code.JobUnknown and code.MemoryExhausted stay as they are.
func readError(err error) error {
	switch code.Of(err) {
	case 0, code.JobUnknown, code.MemoryExhausted:
		return err
	}
	return code.Wrap(code.StoreUnavailable, err, "the store can't be read").WithRetryAfter(storeRetryAfter)
}

// waitForChange waits for a newer head of a job and reports whether there is one.
func (s *Service) waitForChange(ctx context.Context, id string, version rowVersion, timeout time.Duration) bool {
	s.mu.Lock()
	if s.heads[id].version != version {
		s.mu.Unlock()
		return true
	}
	changed := s.changeOf(id)
	s.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// readResults returns the results of a job from a position on, from memory or from
// the store.
func (s *Service) readResults(ctx context.Context, id string, after int, v *versionedHead) ([]Result, error) {
	s.mu.Lock()
	cached := s.results.from(id, after, maxReadBytes)
	s.mu.Unlock()
	if len(cached) > 0 {
		return cached, nil
	}
	release, err := s.takeForReading(ctx, readCopies*v.readBytes())
	if err != nil {
		return nil, err
	}
	defer release()
	rows, err := s.readResultRows(ctx, v.part, id, after, v.Listed)
	if err != nil {
		return nil, err
	}
	results, err := decodeResults(id, after, rows)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results.add(id, after, results)
	return limitBytes(results, maxReadBytes), nil
}

// readResultRows reads the rows of the results from a position on, up to an end: whole results,
// at least one, and not many more than one call returns.
func (s *Service) readResultRows(ctx context.Context, part, id string, after, end int) ([]storage.TableRow, error) {
	var rows []storage.TableRow
	from, to, size := firstChunkKey(id, after), firstChunkKey(id, end), 0
	for {
		page, err := s.options.Store.GetRows(ctx, resultTable, part, from, to)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return rows, nil
		}
		for _, r := range page.Rows {
			size += len(r.Value)
		}
		// The last result may go on in the next page.
		if whole := beforeLastResult(rows); size > maxReadBytes && whole > 0 {
			return rows[:whole], nil
		}
		from = storage.NextKey(rows)
	}
}

// beforeLastResult returns the number of rows before those of the last result.
func beforeLastResult(rows []storage.TableRow) int {
	prefix := func(r *storage.TableRow) string { return r.Key[:strings.LastIndexByte(r.Key, '/')+1] }
	n := len(rows)
	for last := prefix(&rows[n-1]); n > 0 && prefix(&rows[n-1]) == last; {
		n--
	}
	return n
}

// decodeResults decodes the results from a position on.
func decodeResults(id string, after int, rows []storage.TableRow) ([]Result, error) {
	numbers, values, err := joinChunks(rows)
	if err != nil {
		return nil, err
	}
	var results []Result
	for i, n := range numbers {
		var r Result
		// Rows that a former owner wrote ahead may follow the value.
		if err := json.NewDecoder(bytes.NewReader(values[i])).Decode(&r); err != nil || n != after+i {
			return nil, code.New(code.Internal, "result %d of job %q can't be read", after+i, id)
		}
		results = append(results, r)
	}
	if len(results) == 0 {
		return nil, code.New(code.StoreUnavailable, "the store has no result %d of job %q yet", after, id)
	}
	return results, nil
}

const (
	// readCopies is the number of copies of rows or of an object that exist while they are
	// read: the encoded text, buffers that grow, and the decoded form.
	readCopies = 4
	// readWait is how long a call waits for memory to read from the store. readRetryAfter is
	// short, since another instance may have some.
	readWait       = time.Second
	readRetryAfter = 100 * time.Millisecond
)

// readBytes returns the most that a call for results reads of the job.
func (h *head) readBytes() int64 {
	const most = maxReadBytes + maxItemTextBytes
	if h.ListedBytes == 0 {
		return most
	}
	return min(h.ListedBytes, most)
}

// takeForReading waits until there is memory for n bytes, which release gives back. Errors:
// code.MemoryExhausted.
func (s *Service) takeForReading(ctx context.Context, n int64) (release func(), err error) {
	ctx, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	claim := s.reading.claim(n)
	if err := s.reading.take(ctx, claim); err != nil {
		s.options.Log.Info("read refused, too many at once", zap.Int64("bytes", n), zap.Int64("held_bytes", s.reading.held()))
		return nil, code.Wrap(code.MemoryExhausted, err, "too much is read from the store at once").WithRetryAfter(readRetryAfter).WithOutcome(code.NotRun)
	}
	return func() { s.reading.release(claim) }, nil
}

// firstChunkKey returns the key of the first chunk of the result at a position.
func firstChunkKey(id string, n int) string {
	rows := chunkRows("", "", id, n, 0)
	return rows[0].Key
}

// Body returns the body of an item of a job that was not ended.
//
// Errors: code.JobUnknown, code.MemoryExhausted, and code.StoreUnavailable when the store can't
// be read.
func (s *Service) Body(ctx context.Context, id, item string) ([]byte, error) {
	v, err := s.findHead(ctx, id)
	if err != nil {
		return nil, readError(err)
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
	} else if items, err = s.readItems(ctx, id, &v); err != nil {
		return nil, readError(err)
	}
	for i := range items {
		if items[i].ID == item {
			return items[i].Body, nil
		}
	}
	return nil, code.New(code.JobUnknown, "job %q has no item %q", id, item)
}

// readItems returns the items of a job that this process does not run. Calls at the same time
// share a read.
func (s *Service) readItems(ctx context.Context, id string, v *versionedHead) ([]Item, error) {
	shared := s.itemReads.DoChan(id, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), itemReadTimeout)
		defer cancel()
		release, err := s.takeForReading(ctx, readCopies*v.loadedBytes())
		if err != nil {
			return nil, err
		}
		defer release()
		return s.loadItems(ctx, id)
	})
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case r := <-shared:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.([]Item), nil
	}
}

// itemReadTimeout bounds a read that several callers share.
const itemReadTimeout = 5 * time.Second

// endTimeout bounds one call of End. endRetryInterval is the time between its attempts.
const (
	endTimeout       = 3 * time.Second
	endRetryInterval = 60 * time.Millisecond
)

// End ends a job: its results stay listed, the rest of its items need not run. It may
// be repeated.
//
// Errors: code.JobUnknown, and code.StoreUnknown when the store did not confirm in
// time that the job is ended.
func (s *Service) End(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
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
		case <-time.After(endRetryInterval):
		}
	}
}

// tryEnd writes the end of a job once, unless the job is ended or complete.
func (s *Service) tryEnd(ctx context.Context, id string) error {
	v, err := s.findHead(ctx, id)
	if err != nil || !v.open() {
		return err
	}
	return s.changeHead(ctx, id, func(h *head) bool {
		if !h.open() {
			return false
		}
		h.Ended = true
		return true
	})
}
