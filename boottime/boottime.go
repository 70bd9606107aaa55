// Package boottime reads the clock that also counts the time for which the machine was
// suspended, which Go's monotonic clock leaves out. Leases and expiries that other
// instances rely on are measured by it.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// startedAt is the fallback's origin.
var startedAt = time.Now()

// Now returns the time since the machine was started, including suspensions.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(startedAt)
	}
	return time.Duration(ts.Nano())
}
