// Package feed follows one part of a table of the platform's store and tells
// its owner of every change. It bridges outages, lost answers, dropped history
// and reads that lag, and never goes back to an older version of a row. It
// decides nothing about the rows.
package feed

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// Options configure a Follower.
type Options struct {
	// Rows is the store. Required.
	Rows storage.Rows
	// Table and Parts are what is followed; no parts mean the one without a name. A
	// key is in one part only.
	Table string
	Parts []string
	// Wait is how long the store may hold a call without a change; 0 means
	// DefaultPollTimeout. A connection that delivers nothing any more is found out soon
	// after it.
	PollTimeout time.Duration
	// Pause returns the least time between two calls after a change, so that many
	// changes cost one call; nil means none.
	Pause func() time.Duration
	// Update is told of changes, from one goroutine. Required.
	Update func(Update)
	// Log may be nil.
	Log *zap.Logger
}

// Update is a set of changes.
type Update struct {
	// Rows have changed; those that are gone have Removed set.
	Rows []storage.TableRow
	// Complete is set when the rows were read anew, so that changes in between
	// were not seen.
	FullRead bool
	// Regained is set in the first update after the store could not be reached.
	Recovered bool
	// Now is the store's clock.
	Now time.Duration
}

const (
	// DefaultPollTimeout bounds how late a silent connection is found out.
	DefaultPollTimeout = 2 * time.Second
	// Bounds of the pause after a failed call, with jitter.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
)

// Follower follows a table. Its methods are safe for concurrent use.
type Follower struct {
	options Options
	known   map[string]uint64
	version uint64
	synced  bool
	// partial is the part of a table that a read has got so far, nil when none is
	// under way.
	partial *partial
	lost    bool
	heard   atomic.Int64
	started time.Time
}

// partial is what a read has got: rows of all parts before one, and of that one those
// up to a key.
type partial struct {
	storage.RowPage
	part int
	from string
}

// New returns a Follower.
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
	return &Follower{options: o, known: map[string]uint64{}, started: time.Now()}
}

// Age returns the time since the store last answered, and false before the
// first answer.
func (f *Follower) Age() (time.Duration, bool) {
	at := f.heard.Load()
	if at == 0 {
		return 0, false
	}
	return time.Since(f.started) - time.Duration(at), true
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		changed, err := f.step(ctx)
		pause := time.Duration(0)
		switch {
		case ctx.Err() != nil:
			return nil
		case code.Of(err) == code.StoreHistoryGone:
			f.options.Log.Info("history dropped, reading anew", zap.String("table", f.options.Table), zap.Uint64("version", f.version))
			f.synced, f.partial = false, nil
			pause = backoff
		case err != nil:
			f.fail(err)
			pause = backoff/2 + rand.N(backoff/2)
			backoff = min(2*backoff, maxBackoff)
		default:
			backoff = minBackoff
			if changed && f.options.Pause != nil {
				pause = f.options.Pause()
			}
		}
		if pause > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
		}
	}
	return nil
}

func (f *Follower) fail(err error) {
	if f.lost {
		return
	}
	f.lost = true
	f.options.Log.Warn("store not reached", zap.String("table", f.options.Table), zap.Uint64("version", f.version), zap.Error(err))
}

// step reads once and reports whether there were changes.
func (f *Follower) step(ctx context.Context) (bool, error) {
	if !f.synced {
		return f.read(ctx)
	}
	page, err := f.options.Rows.RowChanges(ctx, f.options.Table, f.version, f.options.PollTimeout)
	if err != nil {
		return false, err
	}
	u := Update{Now: page.Now}
	for _, r := range page.Rows {
		if slices.Contains(f.options.Parts, r.Part) && f.note(r) {
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

// read takes all parts, one answer at a time: an answer that the store
// refuses is asked for again, not those before it. A large fleet that starts at
// once would else ask for far more than the store's rate, again and again. An
// answer that is older than what is known already is not used.
func (f *Follower) read(ctx context.Context) (bool, error) {
	for done := false; !done; {
		var err error
		if done, err = f.readOn(ctx); err != nil {
			return false, err
		}
	}
	page := f.partial
	f.partial = nil
	u := Update{FullRead: true, Now: page.Now}
	present := make(map[string]bool, len(page.Rows))
	for _, r := range page.Rows {
		present[r.Key] = true
		if f.note(r) {
			u.Rows = append(u.Rows, r)
		}
	}
	for key := range f.known {
		if !present[key] {
			delete(f.known, key)
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

// readOn asks for the next answer of a read and reports whether it was the last.
func (f *Follower) readOn(ctx context.Context) (bool, error) {
	next := f.partial
	if next == nil {
		next = &partial{RowPage: storage.RowPage{Version: f.version}}
	}
	page, err := f.options.Rows.GetRows(ctx, f.options.Table, f.options.Parts[next.part], next.from, "")
	if err != nil {
		return false, err
	}
	// A change of a row that was read before is a change after the first answer,
	// whose version the feed goes on from.
	if page.Version < next.Version {
		return false, code.New(code.StoreUnavailable, "the store answered with version %d, older than %d", page.Version, next.Version)
	}
	if f.partial == nil {
		next.Version = page.Version
		f.partial = next
	}
	next.Rows, next.Now = append(next.Rows, page.Rows...), page.Now
	if page.More {
		next.from = storage.NextKey(page.Rows)
		return false, nil
	}
	next.part, next.from = next.part+1, ""
	return next.part == len(f.options.Parts), nil
}

// note remembers the version of a row and reports whether it is news.
func (f *Follower) note(r storage.TableRow) bool {
	if r.Version != 0 && r.Version <= f.known[r.Key] {
		return false
	}
	if r.Removed {
		_, ok := f.known[r.Key]
		delete(f.known, r.Key)
		return ok
	}
	f.known[r.Key] = r.Version
	return true
}

func (f *Follower) deliver(u Update) {
	f.heard.Store(int64(max(time.Since(f.started), 1)))
	if f.lost {
		f.lost = false
		u.Recovered = true
		f.options.Log.Info("store reached again", zap.String("table", f.options.Table), zap.Uint64("version", f.version))
	}
	if len(u.Rows) > 0 || u.Recovered || u.FullRead {
		f.options.Update(u)
	}
}
