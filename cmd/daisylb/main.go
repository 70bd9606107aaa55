// Command daisylb is the command line of daisylb, for operators and callers.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

// exitSettings is the exit status for invalid settings or arguments. It extends the
// statuses of package subcommands, whose ExitUsageError has the same value.
const exitSettings subcommands.ExitStatus = 2

func main() {
	var operator operatorFlags
	operator.register(flag.CommandLine)
	commander := subcommands.NewCommander(flag.CommandLine, "daisylb")
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(commander.FlagsCommand(), "help")
	commander.Register(commander.CommandsCommand(), "help")
	commander.Register(&versionCommand{}, "help")
	commander.Register(&devCommand{}, "trying out")
	commander.Register(&loadCommand{}, "trying out")
	register(commander, "operators", configCommands())
	register(commander, "operators", viewCommands())
	commander.Register(&explainCommand{}, "operators")
	register(commander, "callers", callerCommands())
	register(commander, "callers", jobCommands())
	commander.ImportantFlag("operator")
	commander.ImportantFlag("operator-key")
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background(), &operator)))
}

// register adds commands to a help group of the commander.
func register(c *subcommands.Commander, group string, commands []subcommands.Command) {
	for _, command := range commands {
		c.Register(command, group)
	}
}
