// Package logs writes a host's events as JSON log lines at a limited rate and without blocking the recorder.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
)

const (
	// queueCapacity is the maximum number of events that wait to be written.
	queueCapacity = 1024
	// defaultLinesPerSecond is the maximum number of lines per second for request events.
	defaultLinesPerSecond = 50
	// sampleEvery is the number of requests with a complete answer for which one line is written.
	sampleEvery = 64
	// Events from firstRequestCode up to, but not including, firstStateCode concern single requests.
	firstRequestCode yuccahinge.EventCode = 200
	firstStateCode   yuccahinge.EventCode = 400
	// otherFactor is the limit for all other events, which are rare, as a multiple of the limit for request events.
	otherFactor = 4
	// reportEvery is the interval of the reports on dropped lines.
	reportEvery = 5 * time.Second
)

// Writer writes events. Run must run in a goroutine; queueing an event never blocks. Set the fields before the first use.
type Writer struct {
	Out io.Writer
	// LinesPerSecond is the maximum number of lines per second for request events; zero selects a default.
	LinesPerSecond int

	queue      chan yuccahinge.Event
	complete   atomic.Uint64
	sampledOut atomic.Uint64
	dropped    atomic.Uint64
}

// Start creates the queue. It must be called before the other methods.
func (w *Writer) Start() { w.queue = make(chan yuccahinge.Event, queueCapacity) }

// Enqueue queues an event. It drops the event if the queue is full, and samples the events of complete answers.
func (w *Writer) Enqueue(e yuccahinge.Event) {
	if e.Code == event.SearchAnswered && e.Detail == "" && w.complete.Add(1)%sampleEvery != 1 {
		w.sampledOut.Add(1)
		return
	}
	select {
	case w.queue <- e:
	default:
		w.dropped.Add(1)
	}
}

// Dropped returns the number of events dropped because the queue was full or the rate limit was reached.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes queued events until the context is done, then writes the rest of the queue and returns nil.
func (w *Writer) Run(ctx context.Context) error {
	lines := lineWriter{writer: w, out: slog.New(slog.NewJSONHandler(w.Out, nil))}
	report := time.NewTicker(reportEvery)
	defer report.Stop()
	for {
		select {
		case e := <-w.queue:
			lines.write(e)
		case <-report.C:
			lines.reportDropped()
		case <-ctx.Done():
			lines.flush()
			return nil
		}
	}
}

// lineWriter writes lines at a limited rate. It is used by one goroutine.
type lineWriter struct {
	writer *Writer
	out    *slog.Logger
	// second is the second since the epoch in which requests and others count lines.
	second   int64
	requests int
	others   int
	// reported is the number of dropped events in the last report.
	reported uint64
}

func (w *lineWriter) write(e yuccahinge.Event) {
	if !w.allow(&e) {
		w.writer.dropped.Add(1)
		return
	}
	w.out.LogAttrs(context.Background(), level(e.Code), e.Name, attributes(&e)...)
}

// allow counts a line and reports whether it is within the limit of its second.
func (w *lineWriter) allow(e *yuccahinge.Event) bool {
	if second := e.Stamp.Wall / int64(time.Second/time.Microsecond); second != w.second {
		w.second, w.requests, w.others = second, 0, 0
	}
	lines := w.writer.LinesPerSecond
	if lines <= 0 {
		lines = defaultLinesPerSecond
	}
	if e.Code >= firstRequestCode && e.Code < firstStateCode {
		w.requests++
		return w.requests <= lines
	}
	w.others++
	return w.others <= otherFactor*lines
}

// reportDropped writes how many events were dropped since the last report, if any.
func (w *lineWriter) reportDropped() {
	dropped := w.writer.dropped.Load()
	if dropped == w.reported {
		return
	}
	w.out.Warn("linesDropped", "dropped", dropped-w.reported, "sampledOut", w.writer.sampledOut.Load())
	w.reported = dropped
}

func (w *lineWriter) flush() {
	for {
		select {
		case e := <-w.writer.queue:
			w.write(e)
		default:
			w.reportDropped()
			return
		}
	}
}

func level(code yuccahinge.EventCode) slog.Level {
	switch code {
	case event.SearchRefused, event.PlatformDown, event.TicketRefused, event.ProcessUnready, event.DrainCut:
		return slog.LevelWarn
	case event.InvariantBroken:
		return slog.LevelError
	default:
		return slog.LevelInfo
	}
}

// attributes returns the code, the host, the time and the non-empty fields of an event.
func attributes(e *yuccahinge.Event) []slog.Attr {
	out := make([]slog.Attr, 0, 10)
	out = append(out, slog.Int("code", int(e.Code)), slog.String("host", string(e.Host)), slog.Int64("at", e.Stamp.Wall))
	for _, f := range [...]struct{ key, value string }{
		{"request", string(e.Request)},
		{"service", string(e.Service)},
		{"searcher", string(e.Searcher)},
		{"claim", string(e.Claim)},
		{"peer", e.Peer},
		{"detail", e.Detail},
	} {
		if f.value != "" {
			out = append(out, slog.String(f.key, f.value))
		}
	}
	if e.Shard != nil {
		out = append(out, slog.Uint64("shard", uint64(*e.Shard)))
	}
	if e.Ticket != 0 {
		out = append(out, slog.Uint64("ticket", uint64(e.Ticket)))
	}
	if e.TookMs != 0 {
		out = append(out, slog.Float64("tookMs", float64(e.TookMs)))
	}
	return out
}
