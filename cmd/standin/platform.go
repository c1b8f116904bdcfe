package main

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/cfgsvc"
)

type platformCommand struct {
	command  *flaggy.Subcommand
	platform cfgsvc.Platform
}

func newPlatform() *platformCommand {
	p := &platformCommand{command: flaggy.NewSubcommand("platform")}
	p.command.Description = "the configuration service and the membership list"
	p.platform.ListenAddr, p.platform.ControlAddr = "127.0.0.1:0", "127.0.0.1:0"
	p.command.String(&p.platform.ListenAddr, "", "listen", "listen address for readers")
	p.command.String(&p.platform.ControlAddr, "", "control", "listen address for operators, faults and counters")
	return p
}

func (p *platformCommand) run(ctx context.Context) error {
	if err := p.platform.Listen(); err != nil {
		return err
	}
	printReady(readyLine{Role: "platform", Listen: p.platform.Addr(), Control: p.platform.BoundControlAddr()})
	return p.platform.Run(ctx)
}
