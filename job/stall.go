package job

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// stallInterval is the time between two checks for jobs that give way to others.
	stallInterval = time.Second
	// stallTime is how long a job that gets nothing from an upstream keeps memory for which
	// others wait. It is several times as long as a busy upstream needs for a first event.
	// heldBackTime is the same for a job whose items are all held back in quarantine: other jobs
	// need not wait until it is clear that it gets nothing.
	stallTime    = 10 * time.Second
	heldBackTime = 3 * time.Second
	// yieldTimeout bounds the hand-over of a job. If the store does not apply it by then, this
	// process takes the job up again.
	yieldTimeout = 3 * time.Second
)

// yieldStalled hands over the job that has made no progress for the longest, over its limit, if
// another job or an item waits for the memory that it holds. Otherwise jobs whose service has no
// upstream, or whose prompts are quarantined, would keep the jobs of others waiting until they
// expire. The job is then the last of those that wait.
func (s *Service) yieldStalled(ctx context.Context) {
	loading, running := s.loadedFull.Load(), s.running.contended()
	if !loading && !running {
		return
	}
	s.mu.Lock()
	var stalled *run
	longest, now := time.Duration(0), time.Since(s.startedAt)
	for _, r := range s.owned {
		if idle := now - time.Duration(r.progressAt.Load()); idle > max(longest, r.stallTime()) && (loading || r.started.Load() > 0) {
			stalled, longest = r, idle
		}
	}
	s.mu.Unlock()
	if stalled == nil {
		return
	}
	s.options.Log.Info("job without progress gives way to others", zap.String("job", stalled.id), zap.Duration("without_progress", longest),
		zap.Bool("jobs_wait", loading), zap.Bool("items_wait", running), zap.Int64("held_bytes", s.HeldBytes()))
	ctx, cancel := context.WithTimeout(ctx, yieldTimeout)
	defer cancel()
	stalled.handOver(ctx)
}

// stallTime returns how long the run may be without progress while others wait for its memory.
func (r *run) stallTime() time.Duration {
	if n := r.started.Load(); n > 0 && r.heldBack.Load() >= n {
		return heldBackTime
	}
	return stallTime
}
