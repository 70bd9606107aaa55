package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/platform"
	"github.com/daisylb/daisylb/settings"
)

// settingsInterval is the time between two looks at the settings file, which may
// change without a signal.
const settingsInterval = 3 * time.Second

// settingsWatch hands changed settings on, at SIGHUP and when the file has
// changed. A file with faults changes nothing.
type settingsWatch struct {
	path     string
	interval time.Duration
	apply    func(platform.Settings)
	log      *zap.Logger
	// hup gets SIGHUP for as long as the process lives: without a receiver the
	// signal ends a process, one that is just starting or stopping too.
	hup chan os.Signal
	// known is the text that was read last.
	known []byte
}

// newSettingsWatch begins to receive SIGHUP and reads the present text.
func newSettingsWatch(path string, interval time.Duration) *settingsWatch {
	w := &settingsWatch{path: path, interval: interval, hup: make(chan os.Signal, 1), log: zap.NewNop()}
	signal.Notify(w.hup, syscall.SIGHUP)
	// A file that can't be read is reported by those who need it.
	_ = w.read()
	return w
}

// read notes the present text and reports whether it can be read.
func (w *settingsWatch) read() error {
	data, err := settings.ReadFile(w.path, settings.MaxFileBytes)
	w.known = data
	return err
}

// run watches until ctx ends.
func (w *settingsWatch) run(ctx context.Context) {
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.hup:
			w.reload()
		case <-ticker.C:
			before := w.known
			if err := w.read(); err != nil || !bytes.Equal(before, w.known) {
				w.reload()
			}
		}
	}
}

// reload applies the settings as they stand.
func (w *settingsWatch) reload() {
	err := w.read()
	var next platform.Settings
	if err == nil {
		next, err = platform.DecodeSettings(w.known)
	}
	if err != nil {
		w.log.Error("settings have faults, those before stay in force", zap.Error(err))
		return
	}
	w.apply(next)
}
