// Command daisylbd runs one instance of daisylb.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/daemon"
	"github.com/daisylb/daisylb/platform"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	path := flag.String("settings", "", "file with the instance's settings")
	flag.Parse()
	if hostedPath := os.Getenv(platform.SettingsVariable); *path == "" && hostedPath != "" {
		os.Exit(runHosted(hostedPath))
	}
	os.Exit(run(*path))
}

// run runs an instance with the settings file at path and returns the exit code.
func run(path string) int {
	settings, err := daemon.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	log, err := daemon.NewLogger(settings.Log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	d, err := daemon.New(daemon.Options{Settings: settings, Logger: log})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	// The first signal starts a planned stop, the second skips the wait for callers
	// that still hold an old endpoint answer.
	stop, skipWait := signals()
	if err := d.Run(stop, skipWait); err != nil {
		log.Error("stopped", zap.Error(err))
		return exitFailed
	}
	return exitOK
}

// signals returns a context that is cancelled by the first SIGINT or SIGTERM and
// one that is cancelled by the second.
func signals() (first, second context.Context) {
	first, endFirst := context.WithCancel(context.Background())
	second, endSecond := context.WithCancel(context.Background())
	received := make(chan os.Signal, 2)
	signal.Notify(received, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-received
		endFirst()
		<-received
		endSecond()
	}()
	return first, second
}
