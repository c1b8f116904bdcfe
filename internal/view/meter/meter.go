// Package meter records a host's metrics with OpenTelemetry and serves them in the Prometheus text format.
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

// Meter counts events and measures the duration of requests. Start must be called before the other methods.
type Meter struct {
	registry         *prometheus.Registry
	instruments      metric.Meter
	eventCounts      map[yuccahinge.EventCode]*eventCount
	requestDurations metric.Float64Histogram
	forwardDurations metric.Float64Histogram
	attemptCounts    attemptCounts
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
	m.instruments = sdk.NewMeterProvider(sdk.WithReader(exp)).Meter("yuccahinge")
	if err := m.registerEventCounts(); err != nil {
		return err
	}
	if err := m.registerAttemptCounts(); err != nil {
		return err
	}
	m.requestDurations, err = m.instruments.Float64Histogram("yuccahinge.request.duration",
		metric.WithUnit("ms"),
		metric.WithDescription("Time from the arrival of a caller's request to the end of its answer."),
		metric.WithExplicitBucketBoundaries(bucketBoundsMs...))
	if err != nil {
		return err
	}
	m.forwardDurations, err = m.instruments.Float64Histogram("yuccahinge.forward.duration",
		metric.WithUnit("ms"),
		metric.WithDescription("Time from the arrival of a forwarded request to the end of its answer, by route and outcome."),
		metric.WithExplicitBucketBoundaries(bucketBoundsMs...))
	return err
}

// bucketBoundsMs are the upper bounds of the duration buckets in milliseconds.
var bucketBoundsMs = []float64{1, 2, 5, 10, 20, 50, 100, 200, 320, 500, 1000, 2000, 5000}

// RecordForward records the duration of a forwarded request that ended.
func (m *Meter) RecordForward(route yuccahinge.ServiceName, outcome string, took yuccahinge.Millis) {
	m.forwardDurations.Record(context.Background(), float64(took), metric.WithAttributes(
		attribute.String("route", string(route)), attribute.String("outcome", outcome)))
}

// eventCount is the number of events with one code. It is atomic, so that requests count events without a lock.
type eventCount struct {
	n      atomic.Int64
	labels metric.MeasurementOption
}

// registerEventCounts creates a count for each event code and a counter that reads them at each scrape.
func (m *Meter) registerEventCounts() error {
	m.eventCounts = make(map[yuccahinge.EventCode]*eventCount)
	for code, name := range event.Names() {
		m.eventCounts[code] = &eventCount{labels: metric.WithAttributes(
			attribute.Int("code", int(code)), attribute.String("name", name))}
	}
	_, err := m.instruments.Int64ObservableCounter("yuccahinge.events",
		metric.WithDescription("Events of the time line by code."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for _, c := range m.eventCounts {
				if n := c.n.Load(); n > 0 {
					o.Observe(n, c.labels)
				}
			}
			return nil
		}))
	return err
}

// CountEvent adds one to the count of the event's code. It ignores unknown codes.
func (m *Meter) CountEvent(e yuccahinge.Event) {
	if c := m.eventCounts[e.Code]; c != nil {
		c.n.Add(1)
	}
}

// Gauge registers a gauge whose value is read at each scrape.
func (m *Meter) Gauge(name, description string, read func() float64) error {
	_, err := m.instruments.Float64ObservableGauge(name,
		metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return err
}

// Handler returns the handler that serves the metrics.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Instrument returns a handler that calls next and records the duration of each request by route and status.
func (m *Meter) Instrument(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		s := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(s, r)
		m.requestDurations.Record(r.Context(), float64(yuccahinge.MillisOf(time.Since(start))), metric.WithAttributes(
			attribute.String("route", r.Pattern), attribute.String("status", strconv.Itoa(s.status))))
	})
}
