// Package meter provides the metrics of a host through OpenTelemetry, in the Prometheus text format.
package meter

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
)

// Meter counts events and times requests. Start prepares it; before that it does nothing.
type Meter struct {
	registry *prometheus.Registry
	source   metric.Meter
	events   map[yuccahinge.EventCode]*count
	requests metric.Float64Histogram
	answers  metric.Float64Histogram
}

// Start creates the instruments.
func (m *Meter) Start() error {
	m.registry = prometheus.NewRegistry()
	m.registry.MustRegister(
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		collectors.NewGoCollector(),
	)
	exp, err := exporter.New(exporter.WithRegisterer(m.registry), exporter.WithoutScopeInfo())
	if err != nil {
		return err
	}
	m.source = sdk.NewMeterProvider(sdk.WithReader(exp)).Meter("yuccahinge")
	if err := m.countEvents(); err != nil {
		return err
	}
	m.requests, err = m.source.Float64Histogram("yuccahinge.request.duration",
		metric.WithUnit("ms"),
		metric.WithDescription("Time from the arrival of a caller's request to the end of its answer."),
		metric.WithExplicitBucketBoundaries(bounds...))
	if err != nil {
		return err
	}
	m.answers, err = m.source.Float64Histogram("yuccahinge.forward.duration",
		metric.WithUnit("ms"),
		metric.WithDescription("Time from the arrival of a forwarded request to the end of its answer, by route and outcome."),
		metric.WithExplicitBucketBoundaries(bounds...))
	return err
}

// bounds are the upper ends of the buckets of durations in milliseconds.
var bounds = []float64{1, 2, 5, 10, 20, 50, 100, 200, 320, 500, 1000, 2000, 5000}

// Answer counts the end of a forwarded request.
func (m *Meter) Answer(route yuccahinge.ServiceName, outcome string, took yuccahinge.Millis) {
	m.answers.Record(context.Background(), float64(took), metric.WithAttributes(
		attribute.String("route", string(route)), attribute.String("outcome", outcome)))
}

// count is the number of events of one code. Requests add to it, so that it takes no lock.
type count struct {
	n      atomic.Int64
	labels metric.MeasurementOption
}

// countEvents makes a counter for each code of the catalogue, read whenever the metrics are.
func (m *Meter) countEvents() error {
	m.events = make(map[yuccahinge.EventCode]*count)
	for code, name := range event.All() {
		m.events[code] = &count{labels: metric.WithAttributes(
			attribute.Int("code", int(code)), attribute.String("name", name))}
	}
	_, err := m.source.Int64ObservableCounter("yuccahinge.events",
		metric.WithDescription("Events of the time line by code."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for _, c := range m.events {
				if n := c.n.Load(); n > 0 {
					o.Observe(n, c.labels)
				}
			}
			return nil
		}))
	return err
}

// Count counts an event.
func (m *Meter) Count(e yuccahinge.Event) {
	if c := m.events[e.Code]; c != nil {
		c.n.Add(1)
	}
}

// Gauge registers a value that is read whenever the metrics are.
func (m *Meter) Gauge(name, description string, read func() float64) error {
	_, err := m.source.Float64ObservableGauge(name,
		metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return err
}

// Handler returns the page of metrics.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Wrap times every request of next by route and status.
func (m *Meter) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		s := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(s, r)
		m.requests.Record(r.Context(), float64(yuccahinge.MillisOf(time.Since(start))), metric.WithAttributes(
			attribute.String("route", r.Pattern), attribute.String("status", strconv.Itoa(s.status))))
	})
}
