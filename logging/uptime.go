package logging

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// uptimeField is the log field with the uptime of the process, counted from the call of
// New, in milliseconds of the monotonic clock. Unlike the wall clock, this clock is not
// stepped.
const uptimeField = "up"

// uptimeCore adds the uptime to each line.
type uptimeCore struct {
	zapcore.Core
	startedAt time.Time
}

// With implements zapcore.Core.
func (c *uptimeCore) With(fields []zapcore.Field) zapcore.Core {
	return &uptimeCore{c.Core.With(fields), c.startedAt}
}

// Check implements zapcore.Core.
func (c *uptimeCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c *uptimeCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, append(fields, zap.Duration(uptimeField, time.Since(c.startedAt))))
}
