package main

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/link"
)

type linkCommand struct {
	command *flaggy.Subcommand
	link    link.Link
	delayMs float64
}

func newLink() *linkCommand {
	l := &linkCommand{command: flaggy.NewSubcommand("link")}
	l.command.Description = "a TCP relay with injected partitions, delays and pauses"
	l.link.ListenAddr, l.link.ControlAddr = "127.0.0.1:0", "127.0.0.1:0"
	l.command.String(&l.link.ListenAddr, "", "listen", "listen address whose connections are relayed")
	l.command.String(&l.link.ControlAddr, "", "control", "listen address for faults and counters")
	l.command.String(&l.link.Target, "", "target", "address to which connections are relayed")
	l.command.Float64(&l.delayMs, "", "delay-ms", "one-way delay in milliseconds")
	return l
}

func (l *linkCommand) run(ctx context.Context) error {
	if err := l.link.Listen(); err != nil {
		return err
	}
	l.link.SetFaults(link.Faults{Cut: link.CutNone, DelayMs: yuccahinge.Millis(l.delayMs)})
	printReady(readyLine{Role: "link", Listen: l.link.Addr(), Control: l.link.BoundControlAddr()})
	return l.link.Run(ctx)
}
