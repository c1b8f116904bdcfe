// Command spread measures how fast and at what cost tickets and membership propagate over many hosts in one process.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/yuccahinge/yuccahinge/internal/trial/bench/peers"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	hosts := "4,16,64,200"
	asJSON := false
	settle, idle, every := 15.0, 10.0, 2.0
	p := peers.Plan{Domains: 4, Searchers: 200, Shards: 20, Tickets: 5, TicketBytes: 500, Seed: 1}
	flaggy.SetName("spread")
	flaggy.SetDescription("Measures how tickets and membership propagate over hosts on the loopback interface.")
	flaggy.String(&hosts, "", "hosts", "comma-separated numbers of hosts, one row each")
	flaggy.Int(&p.Domains, "", "domains", "number of failure domains")
	flaggy.Int(&p.Searchers, "", "searchers", "number of searchers in the state")
	flaggy.Int(&p.Shards, "", "shards", "number of shards in the state")
	flaggy.Int(&p.Tickets, "", "tickets", "number of tickets to measure")
	flaggy.Int(&p.TicketBytes, "", "ticket-bytes", "approximate size of a ticket in bytes")
	flaggy.Float64(&settle, "", "settle", "seconds to wait before the idle measurement")
	flaggy.Float64(&idle, "", "idle", "length of the idle measurement in seconds")
	flaggy.Float64(&every, "", "every", "seconds from one ticket to the next")
	flaggy.UInt64(&p.Seed, "", "seed", "seed of the hosts' choices of peers")
	flaggy.Bool(&asJSON, "", "json", "print a JSON object for each row")
	flaggy.Parse()
	p.SettleMs = millis(settle)
	p.IdleMs = millis(idle)
	p.TicketIntervalMs = millis(every)
	os.Exit(run(p, hosts, asJSON))
}

func run(p peers.Plan, hosts string, asJSON bool) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if !asJSON {
		printHead()
	}
	for _, field := range strings.Split(hosts, ",") {
		n, err := strconv.Atoi(field)
		if err != nil || n < 1 {
			fmt.Fprintf(os.Stderr, "spread: --hosts: %q is not a positive number\n", field)
			return exitUsage
		}
		p.Hosts = n
		r, err := peers.Run(ctx, p)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailed
		}
		show(&r, asJSON)
	}
	return 0
}

func show(r *peers.Report, asJSON bool) {
	if asJSON {
		_ = json.NewEncoder(os.Stdout).Encode(r)
		return
	}
	printRow(r)
}
