package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"

	"github.com/integrii/flaggy"
	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/server"
)

type searcherCommand struct {
	command *flaggy.Subcommand
	file    string
	id      string
	// single is the only searcher if file is empty.
	single server.Config

	connectMs, medianMs, coldMs, restartMs float64
}

func newSearcher() *searcherCommand {
	s := &searcherCommand{command: flaggy.NewSubcommand("searcher"), id: "searcher"}
	s.single.Listen, s.single.Control = "127.0.0.1:0", "127.0.0.1:0"
	c := s.command
	c.Description = "one searcher, or several, each on its own port"
	c.String(&s.file, "", "config", "JSON file with a list of searchers")
	c.String(&s.single.Listen, "", "listen", "listen address for queries and charges")
	c.String(&s.single.Control, "", "control", "listen address for faults and counters")
	c.String(&s.id, "", "id", "id of the searcher")
	c.UInt64(&s.single.Seed, "", "seed", "seed of the service times")
	c.Int(&s.single.Slots, "", "slots", "maximum number of requests that run at once")
	c.Int(&s.single.MaxQueued, "", "queue", "maximum number of requests that wait for a slot")
	c.Int(&s.single.MaxConnections, "", "connections", "maximum number of open connections")
	c.Float64(&s.connectMs, "", "connect-ms", "delay of a new connection in milliseconds")
	c.Float64(&s.medianMs, "", "median-ms", "median service time in milliseconds")
	c.Float64(&s.single.LogStdDev, "", "spread", "standard deviation of the logarithm of the service time")
	c.Float64(&s.coldMs, "", "cold-ms", "time after a start during which runs are slower, in milliseconds")
	c.Float64(&s.restartMs, "", "restart-ms", "time from a crash to the next start in milliseconds; negative disables the restart")
	c.Bool(&s.single.ExitOnCrash, "", "exit-on-crash", "end the process on a crash")
	return s
}

func (s *searcherCommand) run(ctx context.Context) error {
	configs, err := s.configs()
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	line := readyLine{Role: "searcher"}
	for _, config := range configs {
		searcher := &server.Searcher{Config: config}
		if err := searcher.Listen(); err != nil {
			return err
		}
		line.Searchers = append(line.Searchers, searcherAddrs{
			ID:      string(config.ID),
			Listen:  searcher.Addr(),
			Control: searcher.ControlAddr(),
		})
		group.Go(func() error { return searcher.Run(ctx) })
	}
	if s.file == "" {
		first := line.Searchers[0]
		line = readyLine{Role: line.Role, ID: first.ID, Listen: first.Listen, Control: first.Control}
	}
	printReady(line)
	return group.Wait()
}

func (s *searcherCommand) configs() ([]server.Config, error) {
	if s.file == "" {
		s.single.ID = yuccahinge.SearcherID(s.id)
		s.single.ConnectMs = yuccahinge.Millis(s.connectMs)
		s.single.MedianMs = yuccahinge.Millis(s.medianMs)
		s.single.WarmupMs = yuccahinge.Millis(s.coldMs)
		s.single.RestartMs = yuccahinge.Millis(s.restartMs)
		return []server.Config{s.single}, nil
	}
	body, err := os.ReadFile(s.file)
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var configs []server.Config
	if err := decoder.Decode(&configs); err != nil {
		return nil, err
	}
	return configs, nil
}
