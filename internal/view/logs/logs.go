// Package logs writes the host's events as structured lines, within a bounded volume and without holding anybody up.
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
	// queueLines bounds the events that wait to be written.
	queueLines = 1024
	// defaultLines is the lines of single requests a second.
	defaultLines = 50
	// sampleEvery is how many requests that went as they should stand behind one line.
	sampleEvery = 64
	// requestCodes and above, up to stateCodes, are events of single requests.
	requestCodes yuccahinge.EventCode = 200
	stateCodes   yuccahinge.EventCode = 400
	// stateLines is how many times the lines of single requests all other events may take, which are rare.
	stateLines = 4
	// reportEvery is the time between two reports of lines that were left out.
	reportEvery = 5 * time.Second
)

// Logs writes events. Run it in a goroutine; Take never waits. Set the fields before the first use.
type Logs struct {
	Out io.Writer
	// Lines is the lines of single requests a second; zero takes a default.
	Lines int

	queue   chan yuccahinge.Event
	good    atomic.Uint64
	sampled atomic.Uint64
	dropped atomic.Uint64
}

// Start prepares the queue. It must be called before Take and Run.
func (l *Logs) Start() { l.queue = make(chan yuccahinge.Event, queueLines) }

// Take queues an event. It drops events when too many wait, and most of those that tell of nothing unusual.
func (l *Logs) Take(e yuccahinge.Event) {
	if e.Code == event.SearchAnswered && e.Detail == "" && l.good.Add(1)%sampleEvery != 1 {
		l.sampled.Add(1)
		return
	}
	select {
	case l.queue <- e:
	default:
		l.dropped.Add(1)
	}
}

// Dropped returns the events that were left out for want of room or over the bound.
func (l *Logs) Dropped() uint64 { return l.dropped.Load() }

// Run writes until the context ends, and then what still waits.
func (l *Logs) Run(ctx context.Context) error {
	w := writer{logs: l, out: slog.New(slog.NewJSONHandler(l.Out, nil))}
	report := time.NewTicker(reportEvery)
	defer report.Stop()
	for {
		select {
		case e := <-l.queue:
			w.write(e)
		case <-report.C:
			w.report()
		case <-ctx.Done():
			w.flush()
			return nil
		}
	}
}

// writer writes lines within the bound.
type writer struct {
	logs     *Logs
	out      *slog.Logger
	second   int64
	requests int
	others   int
	reported uint64
}

func (w *writer) write(e yuccahinge.Event) {
	if !w.allowed(&e) {
		w.logs.dropped.Add(1)
		return
	}
	w.out.LogAttrs(context.Background(), level(e.Code), e.Name, attributes(&e)...)
}

// allowed counts a line against the bound of its second.
func (w *writer) allowed(e *yuccahinge.Event) bool {
	if second := e.Stamp.Wall / int64(time.Second/time.Microsecond); second != w.second {
		w.second, w.requests, w.others = second, 0, 0
	}
	lines := w.logs.Lines
	if lines <= 0 {
		lines = defaultLines
	}
	if e.Code >= requestCodes && e.Code < stateCodes {
		w.requests++
		return w.requests <= lines
	}
	w.others++
	return w.others <= stateLines*lines
}

// report writes how many lines were left out since the last report.
func (w *writer) report() {
	dropped := w.logs.dropped.Load()
	if dropped == w.reported {
		return
	}
	w.out.Warn("linesDropped", "dropped", dropped-w.reported, "sampledOut", w.logs.sampled.Load())
	w.reported = dropped
}

func (w *writer) flush() {
	for {
		select {
		case e := <-w.logs.queue:
			w.write(e)
		default:
			w.report()
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

// attributes returns the fields of an event that say something.
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
