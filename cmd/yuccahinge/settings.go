package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/integrii/flaggy"

	"github.com/yuccahinge/yuccahinge/internal/host/config"
)

var errFileMissing = errors.New("subcommand or file is missing: use settings check FILE or settings show FILE")

type settingsCommand struct {
	sub   *flaggy.Subcommand
	check *flaggy.Subcommand
	show  *flaggy.Subcommand
	file  string
	json  bool
}

func (c *settingsCommand) attach(p *flaggy.Parser) {
	c.sub = flaggy.NewSubcommand("settings")
	c.sub.Description = "check or show a settings file"
	c.check = flaggy.NewSubcommand("check")
	c.check.Description = "check a settings file"
	c.check.AddPositionalValue(&c.file, "file", 1, false, "file with the settings")
	c.check.Bool(&c.json, "", "json", "print the settings with their defaults as JSON")
	c.sub.AttachSubcommand(c.check, 1)
	c.show = flaggy.NewSubcommand("show")
	c.show.Description = "print every setting with its value, and whether it comes from the file or is a default"
	c.show.AddPositionalValue(&c.file, "file", 1, false, "file with the settings")
	c.show.Bool(&c.json, "", "json", "print a list in JSON")
	c.sub.AttachSubcommand(c.show, 1)
	p.AttachSubcommand(c.sub, 1)
}

func (c *settingsCommand) used() bool { return c.sub.Used }

func (c *settingsCommand) run(context.Context) int {
	switch {
	case c.file == "" || !c.check.Used && !c.show.Used:
		return fail(exitUsage, errFileMissing)
	case c.show.Used:
		return c.runShow()
	}
	s, err := config.Load(c.file)
	if err != nil {
		return fail(exitUsage, err)
	}
	if c.json {
		return printJSON(s)
	}
	fmt.Println("settings of host", s.Host, "in failure domain", s.Domain, "are valid")
	return exitDone
}

func (c *settingsCommand) runShow() int {
	data, err := config.ReadFile(c.file)
	if err != nil {
		return fail(exitUsage, err)
	}
	all, err := config.Show(data)
	if err != nil {
		return fail(exitUsage, err)
	}
	if c.json {
		return printJSON(all)
	}
	for _, s := range all {
		fmt.Printf("%-32s %-10s %s\n", s.Field, s.Origin, s.Value)
	}
	return exitDone
}
