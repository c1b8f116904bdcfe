// Package trace finds the log lines of one request in the logs of several hosts and summarizes how it ended.
package trace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
)

const (
	// contextMicros is how long before the request's last line on a host, in microseconds, an event of that host counts as
	// a possible cause.
	contextMicros = 10_000_000
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
)

// Line is one line of a host's log.
type Line struct {
	Code     yuccahinge.EventCode  `json:"code"`
	Name     string                `json:"msg"`
	Host     yuccahinge.HostID     `json:"host"`
	At       int64                 `json:"at"` // microseconds
	Request  yuccahinge.RequestID  `json:"request,omitempty"`
	Service  string                `json:"service,omitempty"`
	Searcher yuccahinge.SearcherID `json:"searcher,omitempty"`
	Peer     string                `json:"peer,omitempty"`
	Ticket   uint64                `json:"ticket,omitempty"`
	Detail   string                `json:"detail,omitempty"`
	TookMs   float64               `json:"tookMs,omitempty"`
}

// Report holds the log lines about one request.
type Report struct {
	Request yuccahinge.RequestID `json:"request"`
	// Lines are the lines of the request, Context the earlier lines of the same hosts that may be the cause.
	Lines   []Line `json:"lines"`
	Context []Line `json:"around"`
	// Summary summarizes how the request ended.
	Summary string `json:"sentence"`
}

// Explain reads the logs and returns the lines about a request, ordered by time. It ignores lines that are not log
// lines, so that the logs may contain the output of other programs. It returns the error of a failed read.
func Explain(id yuccahinge.RequestID, logs ...io.Reader) (*Report, error) {
	var all []Line
	for _, r := range logs {
		lines, err := parseLines(r)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b Line) int { return cmp.Compare(a.At, b.At) })
	report := &Report{Request: id}
	lastAt := make(map[yuccahinge.HostID]int64)
	for _, l := range all {
		if l.Request == id {
			report.Lines = append(report.Lines, l)
			lastAt[l.Host] = l.At
		}
	}
	for _, l := range all {
		if at, ok := lastAt[l.Host]; ok && l.Request == "" && isPossibleCause(l.Code) && l.At <= at && l.At > at-contextMicros {
			report.Context = append(report.Context, l)
		}
	}
	report.Summary = summarize(report)
	return report, nil
}

// parseLines returns the lines of a log. It ignores the text before the first brace of a line, such as a host name.
func parseLines(r io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var l Line
		if json.Unmarshal(scanner.Bytes()[start:], &l) == nil && l.Code != 0 {
			out = append(out, l)
		}
	}
	return out, scanner.Err()
}

// isPossibleCause reports whether an event may affect later requests on its host.
func isPossibleCause(code yuccahinge.EventCode) bool {
	switch code {
	case event.ProcessStarted, event.ProcessUnready, event.ProcessDraining, event.ProcessPaused, event.DrainCut,
		event.TicketInForce, event.TicketRefused, event.PlatformDown, event.PlatformBack, event.SearchersChanged,
		event.DomainCut, event.DomainBack, event.HelperFailed, event.SearcherLimited, event.SearcherUnlimited,
		event.SearcherLimitInvalid, event.DomainEvacuated, event.DomainRestored, event.InvariantBroken:
		return true
	default:
		return false
	}
}

// summarize describes the last answer or refusal of the request, or its last line if there is neither.
func summarize(r *Report) string {
	if len(r.Lines) == 0 {
		return "No log has a line of this request: it did not reach a host, was answered in full and not sampled, or its line exceeded the log's rate limit (look for linesDropped)."
	}
	final := r.Lines[len(r.Lines)-1]
	for _, l := range r.Lines {
		if l.Code == event.SearchRefused || l.Code == event.SearchAnswered {
			final = l
		}
	}
	if final.Code == event.SearchRefused {
		return fmt.Sprintf("Host %s gave no answer after %.1f ms: %s.", final.Host, final.TookMs, final.Detail)
	}
	if final.Detail == "" {
		return fmt.Sprintf("Host %s answered in full after %.1f ms.", final.Host, final.TookMs)
	}
	return fmt.Sprintf("Host %s answered after %.1f ms: %s.", final.Host, final.TookMs, final.Detail)
}
