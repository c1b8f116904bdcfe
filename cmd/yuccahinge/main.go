// Command yuccahinge serves the query tier on an entry host and gives callers and operators their tools.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// The exit codes of every command.
const (
	exitDone    = 0
	exitFailed  = 1
	exitUsage   = 2
	exitUnknown = 3
)

// version is set by the linker for releases.
var version = "dev"

// command is one subcommand. It adds its flags to the parser and runs when it was the one used.
type command interface {
	attach(p *flaggy.Parser)
	used() bool
	run(ctx context.Context) int
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	p := flaggy.NewParser("yuccahinge")
	p.Description = "An open-source query tier over many shards."
	p.DisableShowVersionWithVersion()
	commands := []command{
		&serveCommand{},
		&entryCommand{},
		&settingsCommand{},
		&searchCommand{},
		&chargeCommand{},
		&ticketCommand{},
		&statusCommand{},
		&timelineCommand{},
		&metricsCommand{},
		&explainCommand{},
		&versionCommand{},
	}
	for _, c := range commands {
		c.attach(p)
	}
	if err := p.ParseArgs(args); err != nil {
		p.ShowHelpWithMessage(err.Error())
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if c.used() {
			return c.run(ctx)
		}
	}
	p.ShowHelp()
	return exitUsage
}
