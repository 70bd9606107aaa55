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

// settingsPollInterval is the time between two reads of the settings file, which may
// be replaced without a signal.
const settingsPollInterval = 3 * time.Second

// settingsWatcher reloads the settings file on SIGHUP and when its content has
// changed. An invalid file leaves the settings in force unchanged.
type settingsWatcher struct {
	path     string
	interval time.Duration
	apply    func(platform.Settings)
	log      *zap.Logger
	// hup receives SIGHUP for the whole life of the process. Without a receiver
	// the signal would end the process, also while it starts or stops.
	hup chan os.Signal
	// lastRead is the content of the file at the last read, nil when it could not
	// be read.
	lastRead []byte
}

// newSettingsWatcher registers for SIGHUP and reads the file for the first time.
// The fields apply and log are set before run is called.
func newSettingsWatcher(path string, interval time.Duration) *settingsWatcher {
	w := &settingsWatcher{path: path, interval: interval, hup: make(chan os.Signal, 1), log: zap.NewNop()}
	signal.Notify(w.hup, syscall.SIGHUP)
	// An unreadable file is reported when the settings are loaded.
	_ = w.read()
	return w
}

// read stores the file's content in lastRead and returns the read error.
func (w *settingsWatcher) read() error {
	data, err := settings.ReadFile(w.path, settings.MaxFileBytes)
	w.lastRead = data
	return err
}

// run watches the file until ctx ends.
func (w *settingsWatcher) run(ctx context.Context) {
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.hup:
			w.reload()
		case <-ticker.C:
			before := w.lastRead
			if err := w.read(); err != nil || !bytes.Equal(before, w.lastRead) {
				w.reload()
			}
		}
	}
}

// reload reads the file and applies its settings. When the file is unreadable or
// invalid, it logs the error and keeps the settings in force.
func (w *settingsWatcher) reload() {
	err := w.read()
	var next platform.Settings
	if err == nil {
		next, err = platform.DecodeSettings(w.lastRead)
	}
	if err != nil {
		w.log.Error("settings are unreadable or invalid; the previous ones stay in force", zap.Error(err))
		return
	}
	w.apply(next)
}
