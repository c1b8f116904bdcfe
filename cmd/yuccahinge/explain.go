package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/view/trace"
)

var errRequestMissing = errors.New("request or log files are missing: use explain --request ID FILE[,FILE...]")

type explainCommand struct {
	sub     *flaggy.Subcommand
	request string
	files   string
	json    bool
}

func (c *explainCommand) attach(p *flaggy.Parser) {
	c.sub = flaggy.NewSubcommand("explain")
	c.sub.Description = "find out from the logs of the hosts how a request ended"
	c.sub.String(&c.request, "", "request", "id of the request")
	c.sub.AddPositionalValue(&c.files, "files", 1, false, "logs of the hosts, separated by commas")
	c.sub.Bool(&c.json, "", "json", "print JSON")
	p.AttachSubcommand(c.sub, 1)
}

func (c *explainCommand) used() bool { return c.sub.Used }

func (c *explainCommand) run(context.Context) int {
	if c.request == "" || c.files == "" {
		return fail(exitUsage, errRequestMissing)
	}
	var logs []io.Reader
	for _, name := range strings.Split(c.files, ",") {
		f, err := os.Open(name)
		if err != nil {
			return fail(exitUsage, err)
		}
		defer f.Close()
		logs = append(logs, f)
	}
	r, err := trace.Explain(yuccahinge.RequestID(c.request), logs...)
	if err != nil {
		return fail(exitFailed, err)
	}
	if c.json {
		printJSON(r)
	} else {
		printReport(r)
	}
	if len(r.Lines) == 0 {
		return exitUnknown
	}
	return exitDone
}

func printReport(r *trace.Report) {
	fmt.Println(r.Summary)
	for _, l := range r.Context {
		fmt.Printf("before  %s\n", formatLine(l))
	}
	for _, l := range r.Lines {
		fmt.Printf("request %s\n", formatLine(l))
	}
}

func formatLine(l trace.Line) string {
	const microsPerSecond = 1_000_000
	text := fmt.Sprintf("%d.%06d %s %s", l.At/microsPerSecond, l.At%microsPerSecond, l.Host, l.Name)
	for _, part := range []string{l.Service, string(l.Searcher), l.Peer, l.Detail} {
		if part != "" {
			text += " " + part
		}
	}
	return text
}
