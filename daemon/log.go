package daemon

import (
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
)

// NewLogger returns a logger with the level and format of the settings. It writes to
// standard error. Errors: code.InvalidSettings.
func NewLogger(s LogSettings) (*zap.Logger, error) {
	level, err := zap.ParseAtomicLevel(s.Level)
	if err != nil {
		return nil, code.Wrap(code.InvalidSettings, err, "log level %q", s.Level)
	}
	config := zap.NewProductionConfig()
	config.Level = level
	config.Sampling = nil
	config.Encoding = s.Format
	config.EncoderConfig.EncodeTime = zap.NewProductionEncoderConfig().EncodeTime
	config.DisableStacktrace = true
	return config.Build()
}
