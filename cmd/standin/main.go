// Command standin runs small stand-ins for what surrounds the system: the platform, searchers and links.
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

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// ready is the line that a stand-in prints when it can be reached.
type ready struct {
	Role      string   `json:"role"`
	ID        string   `json:"id,omitempty"`
	Listen    string   `json:"listen,omitempty"`
	Control   string   `json:"control,omitempty"`
	Searchers []server `json:"searchers,omitempty"`
}

// server is one of several searchers in a process.
type server struct {
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
		flaggy.ShowHelp("name a stand-in")
		os.Exit(exitUsage)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

func announce(r ready) {
	line, _ := json.Marshal(r)
	fmt.Println(string(line))
}
