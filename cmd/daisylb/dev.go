package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/daisylb/daisylb/dev"
)

// devCommand runs one instance with stand-ins in the command's own process.
type devCommand struct {
	options dev.Options
}

func (*devCommand) Name() string     { return "dev" }
func (*devCommand) Synopsis() string { return "run one instance with stand-ins in this process" }
func (*devCommand) Usage() string {
	return "dev [-listen IP:PORT] [-engines N]\n  Runs one instance and its stand-ins on the loopback and says what to try next.\n"
}

// SetFlags implements subcommands.Command.
func (c *devCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.options.Listen, "listen", "127.0.0.1:8080", "address for callers")
	f.StringVar(&c.options.Operators, "operators", "127.0.0.1:8082", "address for operators")
	f.IntVar(&c.options.Engines, "engines", 3, "number of stand-in engines")
	f.StringVar(&c.options.LogLevel, "log", "warn", "log level: debug, info, warn or error")
}

// Execute implements subcommands.Command.
func (c *devCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	environment, err := dev.Start(c.options)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	fmt.Print(environment.Welcome())
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := environment.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
