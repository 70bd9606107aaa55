package instance

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// pauseCheckInterval is the time between two checks for a pause.
const pauseCheckInterval = 500 * time.Millisecond

// pauseCheckLoop records at regular intervals that the process runs, so that a
// pause of the process appears as a gap.
func (m *Membership) pauseCheckLoop(ctx context.Context) {
	for m.sleep(ctx, pauseCheckInterval) {
		m.mu.Lock()
		m.detectPause(time.Now())
		m.mu.Unlock()
	}
}

// detectPause checks for a pause of this process that just ended. After a
// pause, missing answers say nothing about other members: the timeouts of all
// suspicions restart, this instance's timeouts are widened, and a
// synchronisation fetches what was missed. It must be called before any
// decision that rests on missing answers. m.mu is held.
func (m *Membership) detectPause(now time.Time) {
	gap := now.Sub(m.lastRunningAt)
	m.lastRunningAt = now
	if gap <= pauseCheckInterval+m.options.Period || m.options.ignorePauses {
		return
	}
	m.adjustSlowness(maxSlowness)
	m.table.restartSuspicions(now)
	signal(m.resync)
	m.log.Warn("pause of this process detected", zap.Duration("gap", gap))
}

// pauseCount returns the number of pauses of this process, including one that
// just ended.
func (m *Membership) pauseCount() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detectPause(time.Now())
	return m.table.counts.Pauses
}
