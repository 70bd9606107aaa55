package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/config"
	"github.com/daisylb/daisylb/settings"
)

// Exit statuses of commands for operators, in addition to exitSettings and those of
// package subcommands.
const (
	// exitConflict means that another change was accepted first, or that the
	// change id was used before with other edits.
	exitConflict subcommands.ExitStatus = 3
	// exitUnknown means that the change may or may not have been accepted.
	exitUnknown subcommands.ExitStatus = 4
)

// Environment variables that give flags their defaults.
const (
	operatorVariable    = "DAISYLB_OPERATOR"
	operatorKeyVariable = "DAISYLB_OPERATOR_KEY"
)

const (
	defaultOperator = "127.0.0.1:8082"
	// operatorTimeout bounds one request, including the time in which the
	// instance waits for a slow store.
	operatorTimeout = 30 * time.Second
)

// operatorFlags are the global flags of commands that talk to an instance's
// operator listener. The main function registers them and passes a pointer to
// Execute as the first extra argument.
type operatorFlags struct {
	address string
	key     string
	// out and err replace the standard streams when they are set.
	out io.Writer
	err io.Writer
}

// register adds the flags to f. The address defaults to operatorVariable. When
// the key is empty, clients use operatorKeyVariable.
func (o *operatorFlags) register(f *flag.FlagSet) {
	address := defaultOperator
	if v := os.Getenv(operatorVariable); v != "" {
		address = v
	}
	f.StringVar(&o.address, "operator", address, "IP:port of an instance's operator listener; also "+operatorVariable)
	f.StringVar(&o.key, "operator-key", "", "operator's key; better set "+operatorKeyVariable)
}

// operatorOf returns the flags that were passed to Execute, or the defaults when
// there are none.
func operatorOf(args []any) *operatorFlags {
	for _, a := range args {
		if o, ok := a.(*operatorFlags); ok {
			return o
		}
	}
	o := &operatorFlags{}
	o.register(flag.NewFlagSet("", flag.ContinueOnError))
	return o
}

// config returns a client of the configuration interface.
func (o *operatorFlags) config() *config.Client {
	key := o.key
	if key == "" {
		key = os.Getenv(operatorKeyVariable)
	}
	return config.NewClient(o.address, key, &http.Client{Timeout: operatorTimeout})
}

func (o *operatorFlags) stdout() io.Writer {
	if o.out != nil {
		return o.out
	}
	return os.Stdout
}

func (o *operatorFlags) stderr() io.Writer {
	if o.err != nil {
		return o.err
	}
	return os.Stderr
}

// print writes value as indented JSON, or calls text to write it in readable form.
func (o *operatorFlags) print(asJSON bool, value any, text func(io.Writer)) subcommands.ExitStatus {
	if !asJSON {
		text(o.stdout())
		return subcommands.ExitSuccess
	}
	encoder := json.NewEncoder(o.stdout())
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return o.fail(err)
	}
	return subcommands.ExitSuccess
}

// fail prints the error and returns the exit status for its code.
func (o *operatorFlags) fail(err error) subcommands.ExitStatus {
	var faults settings.Faults
	if errors.As(err, &faults) {
		fmt.Fprintln(o.stderr(), faults.Error())
		return exitSettings
	}
	fmt.Fprintln(o.stderr(), err)
	switch code.Of(err) {
	case code.InvalidSettings, code.UnknownPreset, code.InvalidField:
		return exitSettings
	case code.VersionConflict, code.ChangeIDConflict:
		return exitConflict
	}
	return subcommands.ExitFailure
}

// changeFlags are the flags of commands that change the configuration.
type changeFlags struct {
	id   string
	note string
	json bool
}

func (c *changeFlags) register(f *flag.FlagSet) {
	f.StringVar(&c.id, "id", "", "change id; give the id of a change again to find out whether it was accepted (default: a new id)")
	f.StringVar(&c.note, "note", "", "remark that is kept in the history")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// ensureID returns the id of the change and generates one when none was given.
func (c *changeFlags) ensureID() string {
	if c.id == "" {
		c.id = uuid.NewString()
	}
	return c.id
}

// report prints the outcome of a change and returns the exit status. When the
// outcome is unknown it prints the id with which the command can be run again.
func (c *changeFlags) report(o *operatorFlags, a config.Accepted, err error) subcommands.ExitStatus {
	if err != nil {
		status := o.fail(err)
		if status == subcommands.ExitFailure && code.From(err).Outcome == code.Unknown {
			fmt.Fprintf(o.stderr(), "the outcome is not known; run the command again with -id %s\n", c.id)
			return exitUnknown
		}
		return status
	}
	return o.print(c.json, a, func(w io.Writer) { printAccepted(w, a) })
}

func printAccepted(w io.Writer, a config.Accepted) {
	if a.ChangeID == "" {
		fmt.Fprintf(w, "nothing to change, version %d is in force\n", a.Version)
		return
	}
	word := "accepted"
	if a.Repeated {
		word = "accepted before"
	}
	fmt.Fprintf(w, "version %d %s (change %s), in force at %d of %d instances\n", a.Version, word, a.ChangeID, a.InForce, a.Instances)
	for _, address := range a.Missing {
		fmt.Fprintf(w, "not yet in force at %s\n", address)
	}
}

// commandGroup is a command with subcommands.
type commandGroup struct {
	name     string
	synopsis string
	commands []subcommands.Command
}

// Name implements subcommands.Command.
func (g *commandGroup) Name() string { return g.name }

// Synopsis implements subcommands.Command.
func (g *commandGroup) Synopsis() string { return g.synopsis }

// Usage implements subcommands.Command.
func (g *commandGroup) Usage() string {
	usage := g.name + " COMMAND\n"
	for _, c := range g.commands {
		usage += fmt.Sprintf("  %-10s %s\n", c.Name(), c.Synopsis())
	}
	return usage
}

// SetFlags implements subcommands.Command.
func (g *commandGroup) SetFlags(*flag.FlagSet) {}

// Execute runs the subcommand that the first argument names.
func (g *commandGroup) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	o := operatorOf(args)
	commander := subcommands.NewCommander(f, "daisylb "+g.name)
	commander.Output, commander.Error = o.stdout(), o.stderr()
	commander.Register(commander.HelpCommand(), "")
	for _, c := range g.commands {
		commander.Register(c, "")
	}
	return commander.Execute(ctx, args...)
}
