// Command spread measures how tickets and membership spread over many hosts in one process.
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
	flaggy.SetDescription("Measures the spread of tickets and membership over hosts on the loopback interface.")
	flaggy.String(&hosts, "", "hosts", "numbers of hosts, each a row")
	flaggy.Int(&p.Domains, "", "domains", "failure domains")
	flaggy.Int(&p.Searchers, "", "searchers", "searchers in the state")
	flaggy.Int(&p.Shards, "", "shards", "shards in the state")
	flaggy.Int(&p.Tickets, "", "tickets", "tickets measured")
	flaggy.Int(&p.TicketBytes, "", "ticket-bytes", "size of a ticket")
	flaggy.Float64(&settle, "", "settle", "seconds before the hosts are watched")
	flaggy.Float64(&idle, "", "idle", "seconds watched without tickets")
	flaggy.Float64(&every, "", "every", "seconds between tickets")
	flaggy.UInt64(&p.Seed, "", "seed", "seed of the choices of peers")
	flaggy.Bool(&asJSON, "", "json", "print a JSON object for each row")
	flaggy.Parse()
	p.SettleMs = millis(settle)
	p.IdleMs = millis(idle)
	p.EveryMs = millis(every)
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
			fmt.Fprintf(os.Stderr, "hosts: %q is not a number of hosts\n", field)
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
