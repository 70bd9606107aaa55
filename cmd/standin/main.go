// Command standin runs stand-ins for the platform and the upstreams on the loopback
// interface, for tests and for trying out daisylb.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/daisylb/daisylb/standin"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	path := flag.String("settings", "", "file that names the stand-ins")
	flag.Parse()
	os.Exit(run(*path))
}

func run(path string) int {
	s, err := standin.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	group, err := standin.Start(s)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	fmt.Printf("stand-ins: platform %q, %d engines, %d services\n", group.PlatformAddress, len(group.EngineAddresses), len(group.ServiceAddresses))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := group.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitOK
}
