package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/integrii/flaggy"

	"github.com/yuccahinge/yuccahinge/internal/host/config"
)

var errFileMissing = errors.New("name a file: settings check FILE")

type settingsCommand struct {
	sub   *flaggy.Subcommand
	check *flaggy.Subcommand
	file  string
	json  bool
}

func (c *settingsCommand) attach(p *flaggy.Parser) {
	c.sub = flaggy.NewSubcommand("settings")
	c.sub.Description = "look at settings"
	c.check = flaggy.NewSubcommand("check")
	c.check.Description = "check a file with settings"
	c.check.AddPositionalValue(&c.file, "file", 1, false, "file with the settings")
	c.check.Bool(&c.json, "", "json", "print the settings with their defaults as JSON")
	c.sub.AttachSubcommand(c.check, 1)
	p.AttachSubcommand(c.sub, 1)
}

func (c *settingsCommand) used() bool { return c.sub.Used }

func (c *settingsCommand) run(context.Context) int {
	if !c.check.Used || c.file == "" {
		return fail(exitUsage, errFileMissing)
	}
	s, err := config.Load(c.file)
	if err != nil {
		return fail(exitUsage, err)
	}
	if c.json {
		return printJSON(s)
	}
	fmt.Println("settings of host", s.Host, "in failure domain", s.Domain, "are good")
	return exitDone
}
