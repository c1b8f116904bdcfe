package main

import (
	"context"
	"errors"
	"os"

	"github.com/integrii/flaggy"

	"github.com/yuccahinge/yuccahinge/internal/host/gate"
	"github.com/yuccahinge/yuccahinge/internal/host/reload"
	"github.com/yuccahinge/yuccahinge/platform"
)

var (
	errNoSettings = errors.New("neither --settings nor " + platform.SettingsVariable + " names the file with the settings")
	errNoStore    = errors.New("forward.store and forward.readyAddr are missing in the settings")
)

type entryCommand struct {
	sub      *flaggy.Subcommand
	settings string
}

func (c *entryCommand) attach(p *flaggy.Parser) {
	c.sub = flaggy.NewSubcommand("entry")
	c.sub.Description = "forward callers' requests on the users' platform until SIGTERM, then drain"
	c.sub.String(&c.settings, "", "settings", "file with the settings; "+platform.SettingsVariable+" if left out")
	p.AttachSubcommand(c.sub, 1)
}

func (c *entryCommand) used() bool { return c.sub.Used }

// run starts nothing when the settings are wrong or a port is in use.
func (c *entryCommand) run(ctx context.Context) int {
	path := c.settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if path == "" {
		return fail(exitUsage, errNoSettings)
	}
	changes := &reload.Reload{Path: path}
	s, err := changes.Load()
	if err != nil {
		return fail(exitUsage, err)
	}
	if s.Forward.Store == "" || s.Forward.ReadyAddr == "" {
		return fail(exitUsage, errNoStore)
	}
	g := &gate.Gate{Settings: s, Version: version, Outside: platform.Outside(s.Forward.Store), Log: os.Stdout, Reload: changes}
	if err := g.Listen(ctx); err != nil {
		return fail(exitUsage, err)
	}
	if err := g.Run(ctx); err != nil {
		return fail(exitFailed, err)
	}
	return exitDone
}
