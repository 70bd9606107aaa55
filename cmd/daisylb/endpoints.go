package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/google/subcommands"

	"github.com/daisylb/daisylb/caller"
)

// Environment variables that commands for callers read.
const (
	endpointVariable = "DAISYLB_ENDPOINT"
	keyVariable      = "DAISYLB_KEY"
)

const defaultEndpoint = "127.0.0.1:8080"

// callerCommands returns the commands that use the callers' listener, except
// those on jobs.
func callerCommands() []subcommands.Command {
	return []subcommands.Command{&endpointsCommand{}}
}

// endpointsCommand prints the instances that a caller should use.
type endpointsCommand struct {
	endpoint   string
	key        string
	dataCentre string
	json       bool
}

func (*endpointsCommand) Name() string     { return "endpoints" }
func (*endpointsCommand) Synopsis() string { return "ask which instances a caller should use" }
func (*endpointsCommand) Usage() string {
	return "endpoints [-endpoint IP:PORT] [-key KEY] [-data-centre NAME] [-json]\n"
}

// SetFlags implements subcommands.Command.
func (c *endpointsCommand) SetFlags(f *flag.FlagSet) {
	endpoint := defaultEndpoint
	if v := os.Getenv(endpointVariable); v != "" {
		endpoint = v
	}
	f.StringVar(&c.endpoint, "endpoint", endpoint, "IP:port of any instance's callers' listener; also "+endpointVariable)
	f.StringVar(&c.key, "key", "", "caller's key; better set "+keyVariable)
	f.StringVar(&c.dataCentre, "data-centre", "", "the caller's data centre")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (c *endpointsCommand) Execute(ctx context.Context, _ *flag.FlagSet, args ...any) subcommands.ExitStatus {
	o := operatorOf(args)
	if c.key == "" {
		c.key = os.Getenv(keyVariable)
	}
	answer, err := caller.NewClient(c.endpoint, c.key, &http.Client{Timeout: operatorTimeout}).Endpoints(ctx, c.dataCentre)
	if err != nil {
		return o.fail(err)
	}
	return o.print(c.json, answer, func(w io.Writer) {
		for _, e := range answer.Endpoints {
			fmt.Fprintf(w, "%s\t%s\n", e.Address, e.DataCentre)
		}
		fmt.Fprintf(w, "valid for %d s\n", answer.TTLSeconds)
	})
}
