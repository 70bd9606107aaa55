package job

import (
	"context"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// updateHead keeps a head if it is of a later state than the known one. It cancels the run of a
// job that was ended or has another owner, and notifies those who wait for a change.
// The lock is held.
func (s *Service) updateHead(id string, v versionedHead) {
	if known, ok := s.heads[id]; ok && !v.version.after(known.version) {
		return
	}
	s.setHead(id, v)
	s.newestVersion = max(s.newestVersion, v.version.newest())
	if v.Owner != "" || !v.open() {
		delete(s.orphans, id)
	}
	if r, ok := s.owned[id]; ok && (v.Ended || v.Owner != s.options.Process) {
		s.options.Log.Info("job no longer owned by this process", zap.String("job", id), zap.Bool("ended", v.Ended), zap.String("owner", v.Owner))
		r.cancel()
		delete(s.owned, id)
	}
	if c, ok := s.changed[id]; ok {
		close(c)
		delete(s.changed, id)
	}
}

// changeOf returns a channel that is closed when the head of a job changes. The lock
// is held.
func (s *Service) changeOf(id string) <-chan struct{} {
	c, ok := s.changed[id]
	if !ok {
		c = make(chan struct{})
		s.changed[id] = c
	}
	return c
}

// updateHeads applies the heads among rows.
func (s *Service) updateHeads(rows []storage.TableRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		if r.Table != headTable || r.Removed || r.Version == 0 {
			continue
		}
		if v, err := decodeHead(r); err == nil {
			s.updateHead(r.Key, v)
		}
	}
}

// findHead returns the head of a job. It reads it from the store when it is not known
// here.
//
// Errors: code.JobUnknown, and those of the store.
func (s *Service) findHead(ctx context.Context, id string) (versionedHead, error) {
	s.mu.Lock()
	v, ok := s.heads[id]
	s.mu.Unlock()
	if ok {
		return v, nil
	}
	return s.fetchHead(ctx, id)
}

// confirmedHead returns the newest known head of a job, not from before since, with a known
// version. It reads the head from the store while only this process's last write of it is known.
//
// Errors: code.JobUnknown, and those of the store.
func (s *Service) confirmedHead(ctx context.Context, id string, since rowVersion) (versionedHead, error) {
	isConfirmed := func(v versionedHead) bool { return v.version.known() && !since.after(v.version) }
	s.mu.Lock()
	v, ok := s.heads[id]
	s.mu.Unlock()
	if ok && isConfirmed(v) {
		return v, nil
	}
	v, err := s.fetchHead(ctx, id)
	if err == nil && !isConfirmed(v) {
		err = code.New(code.StoreUnavailable, "the head of job %q was written again since it was read", id).WithRetryAfter(storeRetryAfter)
	}
	return v, err
}

// fetchHead reads the head of a job from the store and returns the newest known one.
//
// Errors: code.JobUnknown, and those of the store.
func (s *Service) fetchHead(ctx context.Context, id string) (v versionedHead, err error) {
	s.mu.Lock()
	newestVersion := s.newestVersion
	s.mu.Unlock()
	page, err := s.readHead(ctx, id)
	if err != nil {
		return v, err
	}
	if page.Version < newestVersion {
		return v, code.New(code.StoreUnavailable, "the store answered from the past").WithRetryAfter(storeRetryAfter)
	}
	if len(page.Rows) == 0 {
		return v, code.New(code.JobUnknown, "there is no job %q", id)
	}
	v, err = decodeHead(page.Rows[0])
	if err != nil {
		return v, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateClock(page.Now)
	s.updateHead(id, v)
	return s.heads[id], nil
}

// readHead reads the head of a job from the store. The head of a job that a version
// with a single part accepted is in the first part.
func (s *Service) readHead(ctx context.Context, id string) (storage.RowPage, error) {
	page, err := s.options.Store.GetRows(ctx, headTable, partOfNewJob(id), id, id+"\x00")
	if err != nil || len(page.Rows) > 0 || partOfNewJob(id) == parts[0] {
		return page, err
	}
	return s.options.Store.GetRows(ctx, headTable, parts[0], id, id+"\x00")
}

// changeHead changes the head of a job once, unless change reports that there is nothing to
// change. After a conflict the head that the store has is the known one.
//
// Errors: code.JobUnknown, and those of the store.
func (s *Service) changeHead(ctx context.Context, id string, change func(h *head) bool) error {
	v, err := s.confirmedHead(ctx, id, rowVersion{})
	if err != nil {
		return err
	}
	next := v.head
	if !change(&next) {
		return nil
	}
	_, err = s.replaceHead(ctx, id, v, next)
	return err
}

// replaceHead replaces a head whose version is known, and returns the new one.
//
// Errors: code.StoreConflict if it has changed, and the others of the store.
func (s *Service) replaceHead(ctx context.Context, id string, v versionedHead, next head) (versionedHead, error) {
	page, err := s.options.Store.ApplyRows(ctx, storage.RowTransaction{
		Conditions: []storage.RowCondition{{RowKey: headKey(v.part, id), Version: v.version.base}},
		Puts:       []storage.TableRow{headRow(v.part, id, &next)},
	})
	switch code.Of(err) {
	case 0:
		written := versionedHead{next, versionWritten(v.version.base, page.Version), v.part}
		s.mu.Lock()
		s.updateHead(id, written)
		s.mu.Unlock()
		return written, nil
	case code.StoreConflict:
		s.logConflict(id, v.version, page.Rows)
		s.updateHeads(page.Rows)
	}
	return v, err
}

// logConflict logs a conflict of a transaction that was conditioned on a version of the head of a
// job, with the version and the state that the store has.
func (s *Service) logConflict(id string, condition rowVersion, rows []storage.TableRow) {
	for _, r := range rows {
		if r.Table != headTable || r.Key != id {
			continue
		}
		present, err := decodeHead(r)
		s.options.Log.Info("head of job not written, it has changed", zap.String("job", id), zap.Uint64("condition", condition.base), zap.Uint64("store_version", r.Version),
			zap.String("owner", present.Owner), zap.Bool("ended", present.Ended), zap.Error(err))
	}
}

// headVersion returns the version of the known head of a job, the zero value if there is none.
func (s *Service) headVersion(id string) rowVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heads[id].version
}
