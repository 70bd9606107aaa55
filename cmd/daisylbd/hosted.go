package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/budget"
	"github.com/daisylb/daisylb/hosted"
	"github.com/daisylb/daisylb/logging"
	"github.com/daisylb/daisylb/platform"
)

// logFlushTimeout bounds the wait for buffered log lines to be written at exit.
const logFlushTimeout = 200 * time.Millisecond

// limitCollector makes Go's collector work against growth beyond its part of the memory, unless
// the environment sets a limit or the memory is not known.
func limitCollector(memoryBytes int64) {
	if memoryBytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(budget.CollectorLimit(memoryBytes))
	}
}

// learnCapacityVariable is the environment variable that is "1" if the instance is to
// learn the capacity of upstreams.
const learnCapacityVariable = "DAISYLB_LEARN_CAPACITY"

// runHosted runs an instance on the users' platform with the settings file at path
// and returns the exit code.
func runHosted(path string) int {
	// The watcher reads the file before it is loaded, so that a change between the
	// two reads is detected at the next poll.
	watcher := newSettingsWatcher(path, settingsPollInterval)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	log, sink := logging.New(os.Stdout, zap.InfoLevel)
	defer func() {
		sink.Close()
		select {
		case <-sink.Done():
		case <-time.After(logFlushTimeout):
		}
	}()
	limitCollector(settings.MemoryBytes)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	i, err := hosted.New(hosted.Options{Settings: settings, Log: log, DroppedLines: sink.Dropped, LearnCapacity: os.Getenv(learnCapacityVariable) == "1"})
	if err == nil {
		watcher.apply, watcher.log = i.Reload, log
		go watcher.run(ctx)
		err = i.Run(ctx)
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		log.Error("failed", zap.Error(err))
		return exitFailed
	}
	return exitOK
}
