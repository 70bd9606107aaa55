package logging

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// upField has the time since the process began on its steady clock, in
// milliseconds. The time of day may be stepped.
const upField = "up"

// steadyCore adds the steady time to each line.
type steadyCore struct {
	zapcore.Core
	began time.Time
}

// With implements zapcore.Core.
func (c *steadyCore) With(fields []zapcore.Field) zapcore.Core {
	return &steadyCore{c.Core.With(fields), c.began}
}

// Check implements zapcore.Core.
func (c *steadyCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c *steadyCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, append(fields, zap.Duration(upField, time.Since(c.began))))
}
