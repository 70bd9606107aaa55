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
		reload(log, path)
		err = i.Run(ctx)
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		log.Error("failed", zap.Error(err))
		return exitFailed
	}
	return exitOK
}

// reload checks the settings at SIGHUP. What an instance uses of them is fixed
// for the life of a process; a faulty file is reported before the next start.
func reload(log *zap.Logger, path string) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		for range hup {
			if _, err := platform.LoadSettings(path); err != nil {
				log.Error("settings have faults", zap.Error(err))
				continue
			}
			log.Info("settings read again")
		}
	}()
}
