package batch

import (
	"time"
)

// moveStragglers moves items that run much longer than the others to the
// straggler lane, where they do not count against ItemsPerLease.
func (l *lease) moveStragglers() {
	typical := l.typicalItemTime()
	if typical == 0 || l.row.grouped() {
		return
	}
	for _, t := range l.tasks {
		if t == nil || t.startedAt.IsZero() || t.isStraggler {
			continue
		}
		if !Straggling(time.Since(t.startedAt), typical, l.runner.opts.StragglerAfter) {
			continue
		}
		select {
		case l.runner.stragglerLane <- struct{}{}:
			t.isStraggler = true
			l.stragglers++
		default:
			return
		}
	}
}

// typicalItemTime returns the mean run time of the segment's items, or the run
// time of the runner's last item if none of the segment has ended yet.
func (l *lease) typicalItemTime() time.Duration {
	if l.itemsEnded > 0 {
		return l.itemTime / time.Duration(l.itemsEnded)
	}
	return time.Duration(l.runner.lastItemNanos.Load())
}
