package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/integrii/flaggy"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// metricsTimeout is the timeout for reading a host's metrics.
const metricsTimeout = 5 * time.Second

var (
	errOperatorMissing = errors.New("--host is missing: the operators' address of an entry host")
	errNameMissing     = errors.New("--name is missing: the name of a metric without labels")
	errNoSuchMetric    = errors.New("the host has no counter or gauge with this name")
)

// metricsCommand prints the value of one metric of a host, so that scripts need no HTTP client.
type metricsCommand struct {
	sub  *flaggy.Subcommand
	host string
	name string
	json bool
}

func (c *metricsCommand) attach(p *flaggy.Parser) {
	c.sub = flaggy.NewSubcommand("metrics")
	c.sub.Description = "print one metric of an entry host"
	c.sub.String(&c.host, "", "host", "operators' address of an entry host")
	c.sub.String(&c.name, "", "name", "name of a metric without labels")
	c.sub.Bool(&c.json, "", "json", "print JSON")
	p.AttachSubcommand(c.sub, 1)
}

func (c *metricsCommand) used() bool { return c.sub.Used }

func (c *metricsCommand) run(ctx context.Context) int {
	if c.host == "" {
		return fail(exitUsage, errOperatorMissing)
	}
	if c.name == "" {
		return fail(exitUsage, errNameMissing)
	}
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	v, err := readMetric(ctx, c.host, c.name)
	if err != nil {
		return fail(exitFailed, err)
	}
	if c.json {
		return printJSON(map[string]float64{c.name: v})
	}
	fmt.Println(v)
	return exitDone
}

func readMetric(ctx context.Context, host, name string) (float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return 0, err
	}
	family := families[name]
	if family == nil || len(family.Metric) == 0 {
		return 0, errNoSuchMetric
	}
	m := family.Metric[0]
	switch {
	case m.Counter != nil:
		return m.Counter.GetValue(), nil
	case m.Gauge != nil:
		return m.Gauge.GetValue(), nil
	}
	return 0, errNoSuchMetric
}
