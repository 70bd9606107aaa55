package batch

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// finder looks for segments to lease. Only Runner.find uses it, so it needs no
// lock.
type finder struct {
	r *Runner
	// jobs are the open jobs that were visited and still are in the window.
	jobs map[string]*jobView
	// absent has the time since which a holder has been missing from the view.
	absent  map[string]time.Time
	members []string
	cursor  string
}

// jobView is what the finder knows of an open job. row, version and manifest do
// not change.
type jobView struct {
	row      jobRow
	version  uint64
	manifest []entry

	// finished are the segments that are known to be finished.
	finished bitmap
	// next is the segment at which the next scan begins; seen counts the segments
	// without free ones since a free one was found.
	next int
	seen int
	// quiet is the time before which the job is not visited again.
	quiet time.Time
}

// Bounds of one look for work.
const (
	// window is the number of open jobs that one look reads.
	window = 64
	// scanPage is the number of segments that one read covers; a visit of a job
	// makes at most scanPages of them.
	scanPage  = 256
	scanPages = 2
	// quietTime is the mean time between visits of a job without free segments.
	quietTime = 15 * time.Second
	// roundTime bounds one look, without the work that it starts.
	roundTime = 30 * time.Second
	// maxConflicts ends a visit, since others are leasing the same segments.
	maxConflicts = 2
)

// round leases segments of the jobs that the instance should work on.
func (f *finder) round(ctx, work context.Context) error {
	if len(f.r.slots) == cap(f.r.slots) || !f.r.progressing() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, roundTime)
	defer cancel()
	candidates, err := f.candidates(ctx)
	if err != nil {
		return err
	}
	f.members = f.r.opts.View.Members()
	self := f.r.opts.View.Self()
	now := time.Now()
	Order(candidates, now, f.r.opts.ItemRate*float64(max(len(f.members), 1)))
	var others []Candidate
	for _, c := range candidates {
		if !Preferred(self, f.members, c.ID, Fanout(c, now, f.r.opts.ItemRate)) {
			others = append(others, c)
			continue
		}
		if done, err := f.visit(ctx, work, c); err != nil || done {
			return err
		}
	}
	return f.steal(ctx, work, others)
}

// steal visits one job that other instances prefer, so that no capacity stays
// idle and no job waits for an instance that is gone.
func (f *finder) steal(ctx, work context.Context, others []Candidate) error {
	if len(others) == 0 {
		return nil
	}
	_, err := f.visit(ctx, work, others[rand.N(len(others))])
	return err
}

// candidates reads a window of the index of open jobs: the jobs that must start
// first, and when all of those are quiet, the ones behind them.
func (f *finder) candidates(ctx context.Context) ([]Candidate, error) {
	rows, err := f.r.store.once(ctx, openPrefix, storage.PrefixEnd(openPrefix), window)
	if err != nil {
		return nil, err
	}
	full := len(rows) == window
	candidates, err := f.decode(rows)
	if err != nil {
		return nil, err
	}
	if full && len(candidates) == 0 {
		candidates, err = f.behind(ctx, rows[window-1].Key)
	} else if !full {
		f.cursor = ""
	}
	f.prune(rows, full)
	return candidates, err
}

// behind reads the next window behind the first one, in turn.
func (f *finder) behind(ctx context.Context, last string) ([]Candidate, error) {
	start := max(f.cursor, last) + "\x00"
	rows, err := f.r.store.once(ctx, start, storage.PrefixEnd(openPrefix), window)
	if err != nil {
		return nil, err
	}
	f.cursor = ""
	if len(rows) == window {
		f.cursor = rows[window-1].Key
	}
	return f.decode(rows)
}

// decode returns the jobs of index rows that are not quiet.
func (f *finder) decode(rows []storage.Row) ([]Candidate, error) {
	now := time.Now()
	candidates := make([]Candidate, 0, len(rows))
	for _, row := range rows {
		open, err := decode[openRow](row)
		if err != nil {
			return nil, err
		}
		id := row.Key[strings.LastIndexByte(row.Key, '/')+1:]
		c := Candidate{ID: id, Remaining: open.Items, Segments: open.Segments, Deadline: time.UnixMilli(open.Deadline)}
		if v := f.jobs[id]; v != nil {
			if now.Before(v.quiet) {
				continue
			}
			c.Remaining = max(c.Remaining-v.finished.count()*segmentItems, 0)
		}
		candidates = append(candidates, c)
	}
	return candidates, nil
}

// maxViews bounds the views that are kept of jobs outside the first window.
const maxViews = 4 * window

// prune forgets jobs that are not open any more, or that are too many to keep.
func (f *finder) prune(rows []storage.Row, full bool) {
	if full && len(f.jobs) <= maxViews {
		return
	}
	open := make(map[string]bool, len(rows))
	for _, row := range rows {
		open[row.Key[strings.LastIndexByte(row.Key, '/')+1:]] = true
	}
	for id := range f.jobs {
		if !open[id] {
			delete(f.jobs, id)
		}
	}
}

// view returns what is known of the job, or nil when it is not open.
func (f *finder) view(ctx context.Context, id string) (*jobView, error) {
	if v := f.jobs[id]; v != nil {
		return v, nil
	}
	row, err := f.r.store.get(ctx, jobKey(id))
	if err != nil || !row.Exists() {
		return nil, err
	}
	job, err := decode[jobRow](row)
	if err != nil || job.State != StateOpen {
		return nil, err
	}
	manifest, err := f.r.store.manifest(ctx, job)
	if err != nil {
		return nil, err
	}
	v := &jobView{row: job, version: row.Version, manifest: manifest, finished: newBitmap(job.Segments)}
	v.next = firstSegment(f.r.opts.View.Self(), id, job.Segments)
	f.jobs[id] = v
	return v, nil
}

// visit leases free segments of the job and reports whether the round is over.
func (f *finder) visit(ctx, work context.Context, c Candidate) (done bool, err error) {
	v, err := f.view(ctx, c.ID)
	if err != nil || v == nil {
		return false, err
	}
	conflicts := 0
	for range scanPages {
		first, last := v.page()
		rows, err := f.r.store.segments(ctx, c.ID, first, last)
		if err != nil {
			return false, err
		}
		for n := first; n < last; n++ {
			v.advance()
			if rows[n].Finished {
				v.finished.set(n)
			}
			if !f.free(c.ID, n, rows[n]) {
				v.seen++
				continue
			}
			v.seen = 0
			err := f.r.lease(work, v, n, rows[n])
			switch {
			case err == nil:
				return true, nil
			case code.Of(err) == code.JobCancelled:
				delete(f.jobs, c.ID)
				return false, nil
			case code.Of(err) != code.LeaseLost:
				return false, err
			}
			if conflicts++; conflicts == maxConflicts {
				v.quiet = time.Now().Add(jitter(f.r.opts.PollInterval))
				return false, nil
			}
		}
		if v.seen >= v.row.Segments {
			return false, f.exhausted(ctx, v)
		}
	}
	return false, nil
}

// exhausted ends the job when every segment is finished and else lets it rest.
func (f *finder) exhausted(ctx context.Context, v *jobView) error {
	v.seen = 0
	v.quiet = time.Now().Add(jitter(quietTime))
	if v.finished.count() < v.row.Segments {
		return nil
	}
	delete(f.jobs, v.row.ID)
	return f.r.finish(ctx, v)
}

// maxAbsent bounds the holders whose absence is timed.
const maxAbsent = 1024

// page returns the segments that the next read covers, and skips those that
// are known to be finished.
func (v *jobView) page() (first, last int) {
	for v.seen < v.row.Segments && v.finished.has(v.next) {
		v.seen++
		v.advance()
	}
	return v.next, min(v.next+scanPage, v.row.Segments)
}

func (v *jobView) advance() { v.next = (v.next + 1) % v.row.Segments }

// free reports whether a segment may be leased.
func (f *finder) free(job string, number int, s versionedSegment) bool {
	switch {
	case s.Finished || f.r.holds(job, number):
		return false
	case s.Holder == "" || s.Holder == f.r.holder || f.gone(s.Holder):
		return true
	default:
		now := time.Now()
		return s.expired(now, f.r.opts.LeaseMargin) && now.Sub(*f.r.steady.Load()) >= outageGrace
	}
}

// outageGrace is the time after an outage of the store in which holders that
// are alive may commit results under leases that expired meanwhile.
const outageGrace = time.Minute

// gone reports whether the holder has been missing from the view for long. It
// only makes a takeover earlier: the token keeps a holder that is alive after
// all from committing.
func (f *finder) gone(holder string) bool {
	id, _, _ := strings.Cut(holder, "/")
	self := f.r.opts.View.Self()
	if id == self && holder != f.r.holder {
		return true
	}
	if slices.Contains(f.members, id) || !slices.Contains(f.members, self) {
		delete(f.absent, id)
		return false
	}
	since, ok := f.absent[id]
	if !ok {
		if len(f.absent) == maxAbsent {
			clear(f.absent)
		}
		f.absent[id] = time.Now()
		return false
	}
	return time.Since(since) >= f.r.opts.AbsentAfter
}
