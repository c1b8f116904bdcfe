package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"

	"github.com/integrii/flaggy"
	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/back"
)

type searcherCommand struct {
	command *flaggy.Subcommand
	file    string
	id      string
	one     back.Config

	connectMs, medianMs, coldMs, restartMs float64
}

func newSearcher() *searcherCommand {
	s := &searcherCommand{command: flaggy.NewSubcommand("searcher"), id: "searcher"}
	s.one.Listen, s.one.Control = "127.0.0.1:0", "127.0.0.1:0"
	c := s.command
	c.Description = "one searcher, or many on as many ports"
	c.String(&s.file, "", "config", "JSON file with a list of searchers")
	c.String(&s.one.Listen, "", "listen", "address for queries and charges")
	c.String(&s.one.Control, "", "control", "address for faults and counters")
	c.String(&s.id, "", "id", "id of the searcher")
	c.UInt64(&s.one.Seed, "", "seed", "seed of the service times")
	c.Int(&s.one.Slots, "", "slots", "requests that run at once")
	c.Int(&s.one.Queue, "", "queue", "requests that may wait")
	c.Int(&s.one.Connections, "", "connections", "cap on connections")
	c.Float64(&s.connectMs, "", "connect-ms", "cost of a new connection")
	c.Float64(&s.medianMs, "", "median-ms", "median service time")
	c.Float64(&s.one.Spread, "", "spread", "deviation of the logarithm of the service time")
	c.Float64(&s.coldMs, "", "cold-ms", "time after a start during which runs are slower")
	c.Float64(&s.restartMs, "", "restart-ms", "time from a crash to the next start, negative for none")
	c.Bool(&s.one.ExitOnCrash, "", "exit-on-crash", "end the process on a crash")
	return s
}

func (s *searcherCommand) run(ctx context.Context) error {
	configs, err := s.configs()
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	line := ready{Role: "searcher"}
	for _, config := range configs {
		one := &back.Searcher{Config: config}
		if err := one.Listen(); err != nil {
			return err
		}
		line.Searchers = append(line.Searchers, server{
			ID:      string(config.ID),
			Listen:  one.Addr(),
			Control: one.ControlAddr(),
		})
		group.Go(func() error { return one.Run(ctx) })
	}
	if s.file == "" {
		first := line.Searchers[0]
		line = ready{Role: line.Role, ID: first.ID, Listen: first.Listen, Control: first.Control}
	}
	announce(line)
	return group.Wait()
}

func (s *searcherCommand) configs() ([]back.Config, error) {
	if s.file == "" {
		s.one.ID = yuccahinge.SearcherID(s.id)
		s.one.ConnectMs = yuccahinge.Millis(s.connectMs)
		s.one.MedianMs = yuccahinge.Millis(s.medianMs)
		s.one.ColdMs = yuccahinge.Millis(s.coldMs)
		s.one.RestartMs = yuccahinge.Millis(s.restartMs)
		return []back.Config{s.one}, nil
	}
	body, err := os.ReadFile(s.file)
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var configs []back.Config
	if err := decoder.Decode(&configs); err != nil {
		return nil, err
	}
	return configs, nil
}
