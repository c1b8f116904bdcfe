package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/integrii/flaggy"
)

// errRequestFailed is returned when a stand-in answers with a status of 300 or above.
var errRequestFailed = errors.New("the stand-in answered with an error status")

// tellCommand sends JSON to a stand-in's control address, so that scripts need no HTTP client.
type tellCommand struct {
	command *flaggy.Subcommand
	to      string
	method  string
	path    string
	body    string
	file    string
}

func newTell() *tellCommand {
	t := &tellCommand{command: flaggy.NewSubcommand("tell"), method: http.MethodPost, path: "/control"}
	c := t.command
	c.Description = "send JSON to a stand-in's control address and print the response"
	c.String(&t.to, "", "to", "control address")
	c.String(&t.method, "", "method", "HTTP method")
	c.String(&t.path, "", "path", "path, such as /control or /publish")
	c.String(&t.body, "", "body", "request body as JSON")
	c.String(&t.file, "", "file", "file with the request body; replaces --body")
	return t
}

func (t *tellCommand) run(ctx context.Context) error {
	body := t.body
	if t.file != "" {
		data, err := os.ReadFile(t.file)
		if err != nil {
			return err
		}
		body = string(data)
	}
	req, err := http.NewRequestWithContext(ctx, t.method, "http://"+t.to+t.path, strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(os.Stdout, resp.Body); err != nil {
		return err
	}
	fmt.Println()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errRequestFailed
	}
	return nil
}
