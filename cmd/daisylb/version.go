package main

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/google/subcommands"
)

// versionCommand prints the module version and the Go version of the build.
type versionCommand struct{}

func (*versionCommand) Name() string             { return "version" }
func (*versionCommand) Synopsis() string         { return "print the version of this program" }
func (*versionCommand) Usage() string            { return "version\n" }
func (*versionCommand) SetFlags(_ *flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*versionCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Println("daisylb (no build information)")
		return subcommands.ExitSuccess
	}
	fmt.Printf("daisylb %s %s\n", info.Main.Version, info.GoVersion)
	return subcommands.ExitSuccess
}
