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

// finder finds segments to lease. Only the goroutine of Runner.findLoop uses it,
// so it needs no lock.
type finder struct {
	runner *Runner
	// jobs are the views of visited jobs, by id.
	jobs map[string]*jobView
	// absentSince has the times since which holders' instances have been missing
	// from the view, by instance id.
	absentSince map[string]time.Time
	// members are the live instances as of the last poll.
	members []string
	// cursor is the key at which the last read beyond the first window ended.
	cursor string
}

// jobView is the finder's view of an open job. row, version and manifest do not
// change.
type jobView struct {
	row      jobRow
	version  uint64
	manifest []manifestEntry

	// finished are the segments that are known to be finished.
	finished bitmap
	// nextSegment is the segment at which the next scan begins. scanned counts the
	// segments scanned since a free one was found.
	nextSegment int
	scanned     int
	// nextVisit is the time before which the job is not visited again.
	nextVisit time.Time
}

// Limits of one poll for work.
const (
	// windowJobs is the number of open jobs that one poll reads.
	windowJobs = 64
	// scanPageSegments is the number of segments that one read covers. A visit of a
	// job makes at most maxScanPages reads.
	scanPageSegments = 256
	maxScanPages     = 2
	// visitInterval is the mean time between visits of a job that has no free
	// segment.
	visitInterval = 15 * time.Second
	// pollTimeout is the timeout of one poll. It does not apply to the leases that
	// the poll acquires.
	pollTimeout = 30 * time.Second
	// maxConflicts is the number of conflicts after which a visit ends, since other
	// instances are leasing the same segments.
	maxConflicts = 2
)

// poll leases at most one free segment: of a job that prefers this instance or, if
// there is none, of one other job. ctx ends the poll, workCtx the lease that it
// acquires.
func (f *finder) poll(ctx, workCtx context.Context) error {
	if len(f.runner.slots) == cap(f.runner.slots) || !f.runner.leasesProgress() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	candidates, err := f.candidates(ctx)
	if err != nil {
		return err
	}
	f.members = f.runner.opts.View.Members()
	self := f.runner.opts.View.Self()
	now := time.Now()
	Order(candidates, now, f.runner.opts.ItemRate*float64(max(len(f.members), 1)))
	var others []Candidate
	for _, c := range candidates {
		if !Preferred(self, f.members, c.ID, Fanout(c, now, f.runner.opts.ItemRate)) {
			others = append(others, c)
			continue
		}
		if done, err := f.visit(ctx, workCtx, c); err != nil || done {
			return err
		}
	}
	return f.steal(ctx, workCtx, others)
}

// steal visits one job that prefers other instances, so that no capacity stays
// idle and no job waits for an instance that has failed or left.
func (f *finder) steal(ctx, workCtx context.Context, others []Candidate) error {
	if len(others) == 0 {
		return nil
	}
	_, err := f.visit(ctx, workCtx, others[rand.N(len(others))])
	return err
}

// candidates reads a window of the index of open jobs: the jobs that must start
// first or, if none of those is due for a visit, jobs after them.
func (f *finder) candidates(ctx context.Context) ([]Candidate, error) {
	rows, err := f.runner.store.rangeOnce(ctx, openPrefix, storage.PrefixEnd(openPrefix), windowJobs)
	if err != nil {
		return nil, err
	}
	full := len(rows) == windowJobs
	candidates, err := f.decodeCandidates(rows)
	if err != nil {
		return nil, err
	}
	if full && len(candidates) == 0 {
		candidates, err = f.laterCandidates(ctx, rows[windowJobs-1].Key)
	} else if !full {
		f.cursor = ""
	}
	f.prune(rows, full)
	return candidates, err
}

// laterCandidates reads a window of the jobs after the key last. Successive calls
// read successive windows and begin again at last after the end of the index.
func (f *finder) laterCandidates(ctx context.Context, last string) ([]Candidate, error) {
	start := max(f.cursor, last) + "\x00"
	rows, err := f.runner.store.rangeOnce(ctx, start, storage.PrefixEnd(openPrefix), windowJobs)
	if err != nil {
		return nil, err
	}
	f.cursor = ""
	if len(rows) == windowJobs {
		f.cursor = rows[windowJobs-1].Key
	}
	return f.decodeCandidates(rows)
}

// decodeCandidates returns the jobs of index rows that are due for a visit.
func (f *finder) decodeCandidates(rows []storage.Row) ([]Candidate, error) {
	now := time.Now()
	candidates := make([]Candidate, 0, len(rows))
	for _, row := range rows {
		open, err := decode[openRow](row)
		if err != nil {
			return nil, err
		}
		id := row.Key[strings.LastIndexByte(row.Key, '/')+1:]
		c := Candidate{ID: id, Remaining: open.Items, Segments: open.Segments, Deadline: time.UnixMilli(open.DeadlineMillis)}
		if v := f.jobs[id]; v != nil {
			if now.Before(v.nextVisit) {
				continue
			}
			c.Remaining = max(c.Remaining-v.finished.count()*maxSegmentItems, 0)
		}
		candidates = append(candidates, c)
	}
	return candidates, nil
}

// maxJobViews is the number of views above which those of jobs outside the first
// window are dropped.
const maxJobViews = 4 * windowJobs

// prune drops the views of jobs that are not among the rows. If the rows are a
// full window, other jobs may still be open, and prune drops their views only
// when there are more than maxJobViews.
func (f *finder) prune(rows []storage.Row, full bool) {
	if full && len(f.jobs) <= maxJobViews {
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

// view returns the view of a job, or nil if the job is not open.
func (f *finder) view(ctx context.Context, id string) (*jobView, error) {
	if v := f.jobs[id]; v != nil {
		return v, nil
	}
	row, err := f.runner.store.get(ctx, jobKey(id))
	if err != nil || !row.Exists() {
		return nil, err
	}
	job, err := decode[jobRow](row)
	if err != nil || job.State != StateOpen {
		return nil, err
	}
	manifest, err := f.runner.store.manifest(ctx, job)
	if err != nil {
		return nil, err
	}
	v := &jobView{row: job, version: row.Version, manifest: manifest, finished: newBitmap(job.Segments)}
	v.nextSegment = firstSegment(f.runner.opts.View.Self(), id, job.Segments)
	f.jobs[id] = v
	return v, nil
}

// visit leases a free segment of the job and reports whether it did, in which
// case the poll ends.
func (f *finder) visit(ctx, workCtx context.Context, c Candidate) (done bool, err error) {
	v, err := f.view(ctx, c.ID)
	if err != nil || v == nil {
		return false, err
	}
	conflicts := 0
	for range maxScanPages {
		first, last := v.page()
		rows, err := f.runner.store.segments(ctx, c.ID, first, last)
		if err != nil {
			return false, err
		}
		for n := first; n < last; n++ {
			v.advance()
			if rows[n].Finished {
				v.finished.set(n)
			}
			if !f.isFree(c.ID, n, rows[n]) {
				v.scanned++
				continue
			}
			v.scanned = 0
			err := f.runner.acquire(workCtx, v, n, rows[n])
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
				v.nextVisit = time.Now().Add(jitter(f.runner.opts.PollInterval))
				return false, nil
			}
		}
		if v.scanned >= v.row.Segments {
			return false, f.endScan(ctx, v)
		}
	}
	return false, nil
}

// endScan handles a job without a free segment: it finishes the job if every
// segment is finished, and else sets the time of the next visit.
func (f *finder) endScan(ctx context.Context, v *jobView) error {
	v.scanned = 0
	v.nextVisit = time.Now().Add(jitter(visitInterval))
	if v.finished.count() < v.row.Segments {
		return nil
	}
	delete(f.jobs, v.row.ID)
	return f.runner.finish(ctx, v)
}

// maxAbsentHolders is the maximum size of finder.absentSince.
const maxAbsentHolders = 1024

// page returns the range of segments that the next read covers. It skips
// segments that are known to be finished.
func (v *jobView) page() (first, last int) {
	for v.scanned < v.row.Segments && v.finished.has(v.nextSegment) {
		v.scanned++
		v.advance()
	}
	return v.nextSegment, min(v.nextSegment+scanPageSegments, v.row.Segments)
}

// advance moves to the next segment.
func (v *jobView) advance() { v.nextSegment = (v.nextSegment + 1) % v.row.Segments }

// isFree reports whether a segment may be leased.
func (f *finder) isFree(job string, number int, s versionedSegment) bool {
	switch {
	case s.Finished || f.runner.holds(job, number):
		return false
	case s.Holder == "" || s.Holder == f.runner.holder || f.holderAbsent(s.Holder):
		return true
	default:
		now := time.Now()
		return s.expired(now, f.runner.opts.LeaseMargin) && now.Sub(*f.runner.storeOKSince.Load()) >= outageGracePeriod
	}
}

// outageGracePeriod is the time after an outage of the store in which expired
// leases are not taken over, so that holders that are alive can commit results
// under leases that expired during the outage.
const outageGracePeriod = time.Minute

// holderAbsent reports whether the holder's instance has been missing from the
// view for AbsentAfter, or the holder is an earlier run of this instance.
// It only makes a takeover earlier: the token prevents a holder that is alive
// after all from committing. A view that lacks this instance itself is not used.
func (f *finder) holderAbsent(holder string) bool {
	id, _, _ := strings.Cut(holder, "/")
	self := f.runner.opts.View.Self()
	if id == self && holder != f.runner.holder {
		return true
	}
	if slices.Contains(f.members, id) || !slices.Contains(f.members, self) {
		delete(f.absentSince, id)
		return false
	}
	since, ok := f.absentSince[id]
	if !ok {
		if len(f.absentSince) == maxAbsentHolders {
			clear(f.absentSince)
		}
		f.absentSince[id] = time.Now()
		return false
	}
	return time.Since(since) >= f.runner.opts.AbsentAfter
}
