package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/hosted"
	"github.com/daisylb/daisylb/logging"
	"github.com/daisylb/daisylb/platform"
)

// logFlush is how long the last log lines may take.
const logFlush = 200 * time.Millisecond

// runHosted runs an instance on the users' platform.
func runHosted(path string) int {
	// What changes after this look is seen at the next one.
	w := newSettingsWatch(path, settingsInterval)
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
		case <-time.After(logFlush):
		}
	}()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	i, err := hosted.New(hosted.Options{Settings: settings, Log: log, DroppedLines: sink.Dropped})
	if err == nil {
		w.apply, w.log = i.Reload, log
		go w.run(ctx)
		err = i.Run(ctx)
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		log.Error("failed", zap.Error(err))
		return exitFailed
	}
	return exitOK
}
