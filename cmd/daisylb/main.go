// Command daisylb is the command line of daisylb, for operators and callers.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

// exitSettings is the exit status of wrong settings or arguments, besides
// those of package subcommands.
const exitSettings subcommands.ExitStatus = 2

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "daisylb")
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(commander.FlagsCommand(), "help")
	commander.Register(commander.CommandsCommand(), "help")
	commander.Register(&devCommand{}, "trying out")
	commander.Register(&versionCommand{}, "help")
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}
