// Command yuccahinge runs an entry host of the query tier and provides commands for callers and operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	_ "github.com/yuccahinge/yuccahinge/internal/host/hangup" // ignores SIGHUP until the settings are watched
)

// Exit codes of all subcommands.
const (
	exitDone    = 0
	exitFailed  = 1
	exitUsage   = 2
	exitUnknown = 3
)

// version is set by the linker in release builds.
var version = "dev"

// command is a subcommand.
type command interface {
	// attach adds the subcommand and its flags to the parser.
	attach(p *flaggy.Parser)
	// used reports whether the command line selects the subcommand.
	used() bool
	// run runs the subcommand and returns the exit code.
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
			if !runsHost(c) {
				signal.Reset(syscall.SIGHUP)
			}
			return c.run(ctx)
		}
	}
	p.ShowHelp()
	return exitUsage
}

// runsHost reports whether a command runs an entry host, for which SIGHUP means that its settings have changed.
func runsHost(c command) bool {
	switch c.(type) {
	case *serveCommand, *entryCommand:
		return true
	}
	return false
}
