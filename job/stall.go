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
	stallTime = 10 * time.Second
)

// yieldStalled hands over the job that has made no progress for the longest, over stallTime, if
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
	oldest := time.Now().Add(-stallTime)
	for _, r := range s.owned {
		if at := time.Unix(0, r.progressAt.Load()); at.Before(oldest) && (loading || r.started.Load() > 0) {
			stalled, oldest = r, at
		}
	}
	s.mu.Unlock()
	if stalled == nil {
		return
	}
	s.options.Log.Info("job without progress gives way to others", zap.String("job", stalled.id), zap.Time("progress_at", oldest),
		zap.Bool("jobs_wait", loading), zap.Bool("items_wait", running), zap.Int64("held_bytes", s.HeldBytes()))
	stalled.handOver(ctx)
}
