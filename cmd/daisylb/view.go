package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/daisylb/daisylb/instance"
	"github.com/daisylb/daisylb/operator"
	"github.com/daisylb/daisylb/upstream"
)

// viewCommands returns the commands that show the state of an instance.
func viewCommands() []subcommands.Command {
	return []subcommands.Command{&dumpCommand{}, &instancesCommand{}, &upstreamsCommand{}}
}

// view returns a client of the operator listener's views.
func (o *operatorFlags) view() *operator.Client {
	key := o.key
	if key == "" {
		key = os.Getenv(operatorKeyVariable)
	}
	return operator.NewClient(o.address, key, &http.Client{Timeout: operatorTimeout})
}

// dumpCommand prints the state of an instance.
type dumpCommand struct{}

func (*dumpCommand) Name() string           { return "dump" }
func (*dumpCommand) Synopsis() string       { return "print the state of an instance as JSON" }
func (*dumpCommand) Usage() string          { return "dump\n" }
func (*dumpCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*dumpCommand) Execute(ctx context.Context, _ *flag.FlagSet, args ...any) subcommands.ExitStatus {
	o := operatorOf(args)
	state, err := o.view().Dump(ctx)
	if err != nil {
		return o.fail(err)
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, state, "", "  "); err != nil {
		return o.fail(err)
	}
	fmt.Fprintln(o.stdout(), indented.String())
	return subcommands.ExitSuccess
}

// instancesCommand lists the instances that an instance sees as live.
type instancesCommand struct{ json bool }

func (*instancesCommand) Name() string     { return "instances" }
func (*instancesCommand) Synopsis() string { return "list the instances that an instance sees" }
func (*instancesCommand) Usage() string    { return "instances [-json]\n" }

// SetFlags implements subcommands.Command.
func (c *instancesCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (c *instancesCommand) Execute(ctx context.Context, _ *flag.FlagSet, args ...any) subcommands.ExitStatus {
	o := operatorOf(args)
	members, err := o.view().Instances(ctx)
	if err != nil {
		return o.fail(err)
	}
	return o.print(c.json, members, func(w io.Writer) { printMembers(w, members) })
}

func printMembers(w io.Writer, members []instance.Member) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintln(table, "ID\tDATA CENTRE\tCALLERS\tHEALTH\tSTATE\tVERSION")
	for _, m := range members {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\n", m.ID, m.DataCentre, m.CallerAddress, m.Health, m.State, m.Version)
	}
}

// upstreamsCommand lists the upstreams that an instance uses.
type upstreamsCommand struct{ json bool }

func (*upstreamsCommand) Name() string     { return "upstreams" }
func (*upstreamsCommand) Synopsis() string { return "list the upstreams that an instance uses" }
func (*upstreamsCommand) Usage() string    { return "upstreams [-json]\n" }

// SetFlags implements subcommands.Command.
func (c *upstreamsCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (c *upstreamsCommand) Execute(ctx context.Context, _ *flag.FlagSet, args ...any) subcommands.ExitStatus {
	o := operatorOf(args)
	state, err := o.view().Upstreams(ctx)
	if err != nil {
		return o.fail(err)
	}
	return o.print(c.json, state, func(w io.Writer) { printUpstreams(w, state) })
}

func printUpstreams(w io.Writer, state upstream.State) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintln(table, "ID\tADDRESS\tSLOTS\tONLINE\tBATCH\tLEAVING")
	for _, u := range state.Upstreams {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%t\n", u.ID, u.Address, u.Slots, u.Online, u.Batch, u.Leaving)
	}
}
