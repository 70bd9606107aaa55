package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/daisylb/daisylb/load"
	"github.com/daisylb/daisylb/settings"
)

// loadCommand runs a load experiment and reports its measurements.
type loadCommand struct {
	out   string
	json  bool
	check bool
}

func (*loadCommand) Name() string { return "load" }
func (*loadCommand) Synopsis() string {
	return "measure a running deployment with an experiment file"
}
func (*loadCommand) Usage() string {
	return `load [-out DIR] [-json] [-check] EXPERIMENT.jsonc
  Drives a running deployment open-loop and compares the experiment's variants.
  The file names the commands that start the deployment. Exits with 2 when the
  file has faults.
`
}

// SetFlags implements subcommands.Command.
func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.out, "out", "", "directory for the JSON report and the plots; empty writes none")
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.BoolVar(&c.check, "check", false, "only check the file")
}

// Execute implements subcommands.Command.
func (c *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	o := operatorOf(args)
	if f.NArg() != 1 {
		fmt.Fprint(o.stderr(), c.Usage())
		return subcommands.ExitUsageError
	}
	data, err := settings.ReadFile(f.Arg(0), settings.MaxDocumentBytes)
	if err != nil {
		fmt.Fprintln(o.stderr(), err)
		return exitSettings
	}
	experiment, err := load.Parse(f.Arg(0), data)
	if err != nil {
		return o.fail(err)
	}
	if c.check {
		return subcommands.ExitSuccess
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := load.Run(ctx, experiment, o.stderr())
	if err != nil {
		return o.fail(err)
	}
	return c.writeReport(o, report)
}

// writeReport writes the report's files, when a directory is set, and prints the
// report.
func (c *loadCommand) writeReport(o *operatorFlags, report *load.Report) subcommands.ExitStatus {
	if c.out != "" {
		if err := report.WriteFiles(c.out); err != nil {
			return o.fail(err)
		}
	}
	return o.print(c.json, report, report.Print)
}
