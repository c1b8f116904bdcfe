// Command standin runs stand-ins for the external systems in tests: the platform, searchers and network links.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// Exit codes of the command.
const (
	exitFailed = 1
	exitUsage  = 2
)

// readyLine is the JSON line that a stand-in prints when it listens. Searchers is set with --config only, instead of ID,
// Listen and Control.
type readyLine struct {
	Role      string          `json:"role"`
	ID        string          `json:"id,omitempty"`
	Listen    string          `json:"listen,omitempty"`
	Control   string          `json:"control,omitempty"`
	Searchers []searcherAddrs `json:"searchers,omitempty"`
}

// searcherAddrs holds the bound addresses of one of the searchers of a process.
type searcherAddrs struct {
	ID      string `json:"id"`
	Listen  string `json:"listen"`
	Control string `json:"control,omitempty"`
}

func main() {
	flaggy.SetName("standin")
	flaggy.SetDescription("Stand-ins for the platform, searchers and network links.")
	platform, searcher, link, tell := newPlatform(), newSearcher(), newLink(), newTell()
	flaggy.AttachSubcommand(platform.command, 1)
	flaggy.AttachSubcommand(searcher.command, 1)
	flaggy.AttachSubcommand(link.command, 1)
	flaggy.AttachSubcommand(tell.command, 1)
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	switch {
	case platform.command.Used:
		err = platform.run(ctx)
	case searcher.command.Used:
		err = searcher.run(ctx)
	case link.command.Used:
		err = link.run(ctx)
	case tell.command.Used:
		err = tell.run(ctx)
	default:
		flaggy.ShowHelp("missing subcommand: platform, searcher, link or tell")
		os.Exit(exitUsage)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

func printReady(r readyLine) {
	line, _ := json.Marshal(r)
	fmt.Println(string(line))
}
