package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/daisylb/daisylb/platform"
)

const settingsText = `{"node_name":"e-1","ip":"10.1.0.10","zone":"a","zones":{"a":"r"},
 "listen":{"front":"10.1.0.10:8161","readiness":"10.1.0.10:8167","directory":"10.1.0.10:8164"},
 "port_range":[7720,7735],"limits":{"memory_mb":334},"heartbeat_ms":1200,
 "bounds":{"grace_s":8,"drain_ms":2000,"ttl_max_s":5,"status_s":120},
 "provider":{"address":"10.200.1.7:8169","writes_per_s":800,"reads_per_s":2000,"row_bytes":65536,"blob_bytes":8388608}}`

// TestChangedSettingsAreReloadedWithoutSignal writes an invalid file and then a
// valid one: only the valid one is applied.
func TestChangedSettingsAreReloadedWithoutSignal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string) {
		t.Helper()
		// The file is replaced by a rename, so that no partial content is read.
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	write(settingsText)
	applied := make(chan platform.Settings)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	w := newSettingsWatcher(path, time.Millisecond)
	w.apply = func(s platform.Settings) { applied <- s }
	go func() { defer close(ended); w.run(ctx) }()
	write(strings.Replace(settingsText, `"grace_s":8`, `"grace_s":0`, 1))
	write(strings.Replace(settingsText, `"grace_s":8`, `"grace_s":9`, 1))
	if s := <-applied; s.Bounds.GracePeriod != 9*time.Second {
		t.Errorf("grace %v", s.Bounds.GracePeriod)
	}
	cancel()
	<-ended
}

// TestSIGHUPDuringPlannedStopDoesNotEndProcess sends SIGHUP after run has returned,
// as in a planned stop. Without a registered receiver the signal would end the process.
func TestSIGHUPDuringPlannedStopDoesNotEndProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(settingsText), 0o600); err != nil {
		t.Fatal(err)
	}
	w := newSettingsWatcher(path, time.Hour)
	stopped, stop := context.WithCancel(t.Context())
	stop()
	w.run(stopped)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	<-w.hup
}
