package main

import (
	"context"
	"errors"
	"flag"
	"strconv"

	"github.com/integrii/flaggy"
	"k8s.io/klog/v2"

	"github.com/yuccahinge/yuccahinge/internal/host/avail"
	"github.com/yuccahinge/yuccahinge/internal/host/caps"
	"github.com/yuccahinge/yuccahinge/internal/host/node"
	"github.com/yuccahinge/yuccahinge/internal/host/reload"
)

var errSettingsMissing = errors.New("--settings is missing: the file with the settings")

type serveCommand struct {
	sub      *flaggy.Subcommand
	settings string
}

func (c *serveCommand) attach(p *flaggy.Parser) {
	c.sub = flaggy.NewSubcommand("serve")
	c.sub.Description = "run an entry host until SIGTERM, then drain"
	c.sub.String(&c.settings, "", "settings", "file with the settings")
	p.AttachSubcommand(c.sub, 1)
}

func (c *serveCommand) used() bool { return c.sub.Used }

// run returns exitUsage without serving if the settings are invalid or a port is in use.
func (c *serveCommand) run(ctx context.Context) int {
	if c.settings == "" {
		return fail(exitUsage, errSettingsMissing)
	}
	reloader := &reload.Watcher{Path: c.settings}
	s, err := reloader.Load()
	if err != nil {
		return fail(exitUsage, err)
	}
	if err := setVerbosity(s.Log.Verbosity); err != nil {
		return fail(exitUsage, err)
	}
	defer klog.Flush()
	s.Limits.FillFrom(avail.Read())
	caps.LimitHeap(&s.Limits)
	n := &node.Node{Settings: s, Version: version, Reload: reloader}
	if err := n.Listen(ctx); err != nil {
		return fail(exitUsage, err)
	}
	if err := n.Run(ctx); err != nil {
		return fail(exitFailed, err)
	}
	return exitDone
}

// setVerbosity sets the log level of klog, which accepts it only as a flag.
func setVerbosity(level int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	return flags.Set("v", strconv.Itoa(level))
}
