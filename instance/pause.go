package instance

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// pulseInterval is the time between two notes that the process runs.
const pulseInterval = 500 * time.Millisecond

// pulse notes that the process runs, so that a pause shows as a gap.
func (m *Membership) pulse(ctx context.Context) {
	for m.sleep(ctx, pulseInterval) {
		m.mu.Lock()
		m.noticePause(time.Now())
		m.mu.Unlock()
	}
}

// noticePause looks for a pause that ended just now. Then silence is no sign
// against anybody: every suspect has its time again, the own timeouts are
// widened, and memberships are compared to learn what was missed. Whatever counts silence calls it first. m.mu is held.
func (m *Membership) noticePause(now time.Time) {
	gap := now.Sub(m.pulsed)
	m.pulsed = now
	if gap <= pulseInterval+m.options.Period || m.options.ignorePauses {
		return
	}
	m.adjust(maxSlowness)
	m.table.excuse(now)
	signal(m.woken)
	m.log.Warn("own pause noticed", zap.Duration("gap", gap))
}

// pauses returns the number of own pauses, the present one included.
func (m *Membership) pauses() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noticePause(time.Now())
	return m.table.counts.Pauses
}
