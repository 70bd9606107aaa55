package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"github.com/daisylb/daisylb/logging"
)

// explainCommand prints the timeline of a request or a job from logs.
type explainCommand struct{}

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "tell the story of a request or a job from logs" }
func (*explainCommand) Usage() string {
	return "explain ID [FILE...]\n\nReads log lines of any number of instances from files, or from standard input,\nand prints those that name the id in the order of time.\n"
}

// SetFlags implements subcommands.Command.
func (*explainCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	logs := []io.Reader{os.Stdin}
	if f.NArg() > 1 {
		logs = nil
	}
	for _, name := range f.Args()[1:] {
		file, err := os.Open(name)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
		defer func() { _ = file.Close() }()
		logs = append(logs, file)
	}
	timeline, err := logging.Explain(f.Arg(0), logs...)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if err := timeline.Write(os.Stdout); err != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
