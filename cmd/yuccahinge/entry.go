package main

import (
	"context"
	"errors"
	"os"

	"github.com/integrii/flaggy"

	"github.com/yuccahinge/yuccahinge/internal/host/avail"
	"github.com/yuccahinge/yuccahinge/internal/host/caps"
	"github.com/yuccahinge/yuccahinge/internal/host/proxy"
	"github.com/yuccahinge/yuccahinge/internal/host/reload"
	"github.com/yuccahinge/yuccahinge/platform"
)

var (
	errNoSettings = errors.New("settings file is missing: set --settings or " + platform.SettingsEnvVar + " in the environment")
	errNoStore    = errors.New("settings lack forward.store or forward.readyAddr")
)

type entryCommand struct {
	sub      *flaggy.Subcommand
	settings string
}

func (c *entryCommand) attach(p *flaggy.Parser) {
	c.sub = flaggy.NewSubcommand("entry")
	c.sub.Description = "run an entry host that forwards callers' requests on the users' platform until SIGTERM, then drain"
	c.sub.String(&c.settings, "", "settings", "file with the settings; "+platform.SettingsEnvVar+" if left out")
	p.AttachSubcommand(c.sub, 1)
}

func (c *entryCommand) used() bool { return c.sub.Used }

// run returns exitUsage without serving if the settings are invalid or a port is in use.
func (c *entryCommand) run(ctx context.Context) int {
	path := c.settings
	if path == "" {
		path = os.Getenv(platform.SettingsEnvVar)
	}
	if path == "" {
		return fail(exitUsage, errNoSettings)
	}
	reloader := &reload.Watcher{Path: path}
	s, err := reloader.Load()
	if err != nil {
		return fail(exitUsage, err)
	}
	if s.Forward.StoreAddr == "" || s.Forward.ReadyAddr == "" {
		return fail(exitUsage, errNoStore)
	}
	s.Limits.FillFrom(avail.Read())
	caps.LimitHeap(&s.Limits)
	srv := &proxy.Server{Settings: s, Version: version, Adapters: platform.Adapters(s.Forward.StoreAddr), Log: os.Stdout, Reload: reloader}
	if err := srv.Listen(ctx); err != nil {
		return fail(exitUsage, err)
	}
	if err := srv.Run(ctx); err != nil {
		return fail(exitFailed, err)
	}
	return exitDone
}
