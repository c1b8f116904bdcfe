package main

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"
)

type versionCommand struct {
	sub  *flaggy.Subcommand
	json bool
}

func (c *versionCommand) attach(p *flaggy.Parser) {
	c.sub = flaggy.NewSubcommand("version")
	c.sub.Description = "print the version"
	c.sub.Bool(&c.json, "", "json", "print JSON")
	p.AttachSubcommand(c.sub, 1)
}

func (c *versionCommand) used() bool { return c.sub.Used }

func (c *versionCommand) run(context.Context) int {
	if c.json {
		return printJSON(struct {
			Version string `json:"version"`
		}{version})
	}
	fmt.Println("yuccahinge", version)
	return exitDone
}
