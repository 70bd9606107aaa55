package batch

import (
	"time"
)

// moveStragglers moves items that run much longer than the others to the lane
// of stragglers, where they take no place of their segment.
func (l *lease) moveStragglers() {
	typical := l.typical()
	if typical == 0 || l.row.cautious() {
		return
	}
	for _, t := range l.tasks {
		if t == nil || t.started.IsZero() || t.inLane {
			continue
		}
		if !Straggling(time.Since(t.started), typical, l.r.opts.StragglerAfter) {
			continue
		}
		select {
		case l.r.stragglers <- struct{}{}:
			t.inLane = true
			l.inLane++
		default:
			return
		}
	}
}

// typical returns the mean time of the segment's items, or that of the runner's
// items when none has ended yet.
func (l *lease) typical() time.Duration {
	if l.ended > 0 {
		return l.spent / time.Duration(l.ended)
	}
	return time.Duration(l.r.typical.Load())
}
