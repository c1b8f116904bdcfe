package main

import (
	"context"
	"errors"
	"flag"
	"strconv"

	"github.com/integrii/flaggy"
	"k8s.io/klog/v2"

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
	c.sub.Description = "serve on this entry host until SIGTERM, then drain"
	c.sub.String(&c.settings, "", "settings", "file with the settings")
	p.AttachSubcommand(c.sub, 1)
}

func (c *serveCommand) used() bool { return c.sub.Used }

// run starts nothing when the settings are wrong or a port is in use.
func (c *serveCommand) run(ctx context.Context) int {
	if c.settings == "" {
		return fail(exitUsage, errSettingsMissing)
	}
	changes := &reload.Reload{Path: c.settings}
	s, err := changes.Load()
	if err != nil {
		return fail(exitUsage, err)
	}
	if err := setVerbosity(s.Log.Verbosity); err != nil {
		return fail(exitUsage, err)
	}
	defer klog.Flush()
	n := &node.Node{Settings: s, Version: version, Reload: changes}
	if err := n.Listen(ctx); err != nil {
		return fail(exitUsage, err)
	}
	if err := n.Run(ctx); err != nil {
		return fail(exitFailed, err)
	}
	return exitDone
}

// setVerbosity hands the level to klog, which takes it as a flag only.
func setVerbosity(level int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	return flags.Set("v", strconv.Itoa(level))
}
