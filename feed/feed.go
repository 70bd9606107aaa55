// Package feed follows one or more parts of a table in the platform's store and
// delivers every change to a callback. It handles outages, lost responses, dropped
// change history and stale reads, and never goes back to an older version of a row.
// It does not interpret the rows.
package feed

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/boottime"
	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// Options configures a Follower.
type Options struct {
	// Rows is the store. Required.
	Rows storage.Rows
	// Table and Parts select the rows to follow. Without Parts, the unnamed part is
	// followed. A key must be in one part only.
	Table string
	Parts []string
	// PollTimeout is how long the store may hold a call open while there is no
	// change; 0 means DefaultPollTimeout. A connection that no longer delivers data
	// is detected soon after this time.
	PollTimeout time.Duration
	// MinInterval returns the least time between a call that returned changes and
	// the next one, so that many changes cost one call; nil means none.
	MinInterval func() time.Duration
	// Update is called with changes, from the goroutine of Run. Required.
	Update func(Update)
	// Log may be nil.
	Log *zap.Logger
}

// Update is a set of changed rows.
type Update struct {
	// Rows holds the changed rows. Removed rows have Removed set.
	Rows []storage.TableRow
	// FullRead is set when the rows were read in full, so that intermediate changes
	// may have been missed.
	FullRead bool
	// Recovered is set in the first update after calls of the store have failed.
	Recovered bool
	// Now is the reading of the store's clock. It was taken after ReadAt, the time by package
	// boottime at which the call was sent.
	Now    time.Duration
	ReadAt time.Duration
}

const (
	// DefaultPollTimeout bounds the time until a dead connection is detected.
	DefaultPollTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the time between a failed call and the next
	// one, before jitter.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
)

// Follower follows a table. Age may be called concurrently with Run.
type Follower struct {
	options Options
	// versions holds the version of each present row by key. version is the one
	// from which changes are read next. synced is false until the first full read
	// and when the store no longer has the changes after version.
	versions map[string]uint64
	version  uint64
	synced   bool
	// partial is the progress of a full read, nil when none is running.
	partial *partialRead
	// unreachable is set after a failed call until the next successful poll.
	unreachable bool
	// lastResponse is the time of the last successful poll in nanoseconds since
	// started, 0 before the first one.
	lastResponse atomic.Int64
	started      time.Time
	// readAt is the time by package boottime at which the last successful poll was sent, or
	// the first call of the last full read.
	readAt atomic.Int64
}

// partialRead is the progress of a full read: the rows of all parts before part, and
// those of part up to nextKey.
type partialRead struct {
	storage.RowPage
	part    int
	nextKey string
	// readAt is the time by package boottime before the first page was read.
	readAt time.Duration
}

// New returns a Follower. Run starts it.
func New(o Options) *Follower {
	if len(o.Parts) == 0 {
		o.Parts = []string{""}
	}
	if o.PollTimeout == 0 {
		o.PollTimeout = DefaultPollTimeout
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Follower{options: o, versions: map[string]uint64{}, started: time.Now()}
}

// Age returns the time since the last successful poll or full read, and false
// before the first one.
func (f *Follower) Age() (time.Duration, bool) {
	last := f.lastResponse.Load()
	if last == 0 {
		return 0, false
	}
	return time.Since(f.started) - time.Duration(last), true
}

// ReadAt returns the time by package boottime as of which all changes have been delivered, and
// false before the first read. It is the time at which the last successful call was sent: a
// process may be stopped between the store's response and the delivery.
func (f *Follower) ReadAt() (time.Duration, bool) {
	at := f.readAt.Load()
	return time.Duration(at), at != 0
}

// Run follows the table until ctx is done. It always returns nil. It must not be
// called more than once at a time.
func (f *Follower) Run(ctx context.Context) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		changed, err := f.poll(ctx)
		delay := time.Duration(0)
		switch {
		case ctx.Err() != nil:
			return nil
		case code.Of(err) == code.StoreHistoryGone:
			f.options.Log.Info("change history no longer available, reading the table in full", zap.String("table", f.options.Table), zap.Uint64("version", f.version))
			f.synced, f.partial = false, nil
			delay = backoff
		case err != nil:
			f.markUnreachable(err)
			delay = backoff/2 + rand.N(backoff/2)
			backoff = min(2*backoff, maxBackoff)
		default:
			backoff = minBackoff
			if changed && f.options.MinInterval != nil {
				delay = f.options.MinInterval()
			}
		}
		if delay > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(delay):
			}
		}
	}
	return nil
}

// markUnreachable records that a call has failed. It logs the first failure of an
// outage only.
func (f *Follower) markUnreachable(err error) {
	if f.unreachable {
		return
	}
	f.unreachable = true
	f.options.Log.Warn("store not reached", zap.String("table", f.options.Table), zap.Uint64("version", f.version), zap.Error(err))
}

// poll reads the next changes, or the whole table when it is not synced, and
// reports whether anything was read.
func (f *Follower) poll(ctx context.Context) (bool, error) {
	if !f.synced {
		return f.readAll(ctx)
	}
	readAt := boottime.Now()
	page, err := f.options.Rows.RowChanges(ctx, f.options.Table, f.version, f.options.PollTimeout)
	if err != nil {
		return false, err
	}
	u := Update{Now: page.Now, ReadAt: readAt}
	for _, r := range page.Rows {
		if slices.Contains(f.options.Parts, r.Part) && f.recordVersion(r) {
			u.Rows = append(u.Rows, r)
		}
		f.version = max(f.version, r.Version)
	}
	if len(page.Rows) == 0 {
		f.version = max(f.version, page.Version)
	}
	f.deliver(u)
	return len(page.Rows) > 0, nil
}

// readAll reads all parts, one page at a time. When the store rejects a page, the
// next call retries from that page. If it started again from the first one, a large
// fleet that starts at the same time would exceed the store's rate limit by far,
// again and again. A page that is older than the known state is not used.
func (f *Follower) readAll(ctx context.Context) (bool, error) {
	for done := false; !done; {
		var err error
		if done, err = f.readPage(ctx); err != nil {
			return false, err
		}
	}
	page := f.partial
	f.partial = nil
	u := Update{FullRead: true, Now: page.Now, ReadAt: page.readAt}
	present := make(map[string]bool, len(page.Rows))
	for _, r := range page.Rows {
		present[r.Key] = true
		if f.recordVersion(r) {
			u.Rows = append(u.Rows, r)
		}
	}
	for key := range f.versions {
		if !present[key] {
			delete(f.versions, key)
			u.Rows = append(u.Rows, storage.TableRow{
				RowKey:  storage.RowKey{Table: f.options.Table, Key: key},
				Version: page.Version,
				Removed: true,
			})
		}
	}
	f.version, f.synced = page.Version, true
	f.deliver(u)
	return true, nil
}

// readPage reads the next page of a full read and reports whether it was the last.
func (f *Follower) readPage(ctx context.Context) (bool, error) {
	progress := f.partial
	if progress == nil {
		progress = &partialRead{RowPage: storage.RowPage{Version: f.version}, readAt: boottime.Now()}
	}
	page, err := f.options.Rows.GetRows(ctx, f.options.Table, f.options.Parts[progress.part], progress.nextKey, "")
	if err != nil {
		return false, err
	}
	// The changes are followed from the version of the first page on, so a row that
	// changes after its page was read is delivered again.
	if page.Version < progress.Version {
		return false, code.New(code.StoreUnavailable, "the store answered with version %d, older than %d", page.Version, progress.Version)
	}
	if f.partial == nil {
		progress.Version = page.Version
		f.partial = progress
	}
	progress.Rows, progress.Now = append(progress.Rows, page.Rows...), page.Now
	if page.More {
		progress.nextKey = storage.NextKey(page.Rows)
		return false, nil
	}
	progress.part, progress.nextKey = progress.part+1, ""
	return progress.part == len(f.options.Parts), nil
}

// recordVersion records the version of a row and reports whether it is a change.
func (f *Follower) recordVersion(r storage.TableRow) bool {
	if r.Version != 0 && r.Version <= f.versions[r.Key] {
		return false
	}
	if r.Removed {
		_, ok := f.versions[r.Key]
		delete(f.versions, r.Key)
		return ok
	}
	f.versions[r.Key] = r.Version
	return true
}

// deliver calls Update if there is anything to report, and then records the time of the
// successful poll, so that Age never refers to rows that were not delivered yet.
func (f *Follower) deliver(u Update) {
	polledAt := time.Since(f.started)
	if f.unreachable {
		f.unreachable = false
		u.Recovered = true
		f.options.Log.Info("store reached again", zap.String("table", f.options.Table), zap.Uint64("version", f.version))
	}
	if len(u.Rows) > 0 || u.Recovered || u.FullRead {
		f.options.Update(u)
	}
	f.lastResponse.Store(int64(max(polledAt, 1)))
	f.readAt.Store(int64(u.ReadAt))
}
