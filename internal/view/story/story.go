// Package story reads the logs of several hosts and tells what became of one request.
package story

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
	// before is how far back events of a host are told that may explain what it did, in microseconds.
	before = 10_000_000
	// maxLine bounds a line of a log, in bytes.
	maxLine = 1 << 20
)

// Line is one line of a log.
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

// Story is what the logs say of one request.
type Story struct {
	Request yuccahinge.RequestID `json:"request"`
	// Lines are those of the request, and Around those of the same hosts shortly before that may explain them.
	Lines  []Line `json:"lines"`
	Around []Line `json:"around"`
	// Sentence says how the request ended.
	Sentence string `json:"sentence"`
}

// Tell reads logs and returns the story of a request. Lines that are not of a log are passed over, so that the output
// of other programs may stand between them.
func Tell(id yuccahinge.RequestID, logs ...io.Reader) (*Story, error) {
	var all []Line
	for _, r := range logs {
		lines, err := read(r)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b Line) int { return cmp.Compare(a.At, b.At) })
	s := &Story{Request: id}
	last := make(map[yuccahinge.HostID]int64)
	for _, l := range all {
		if l.Request == id {
			s.Lines = append(s.Lines, l)
			last[l.Host] = l.At
		}
	}
	for _, l := range all {
		if at, ok := last[l.Host]; ok && l.Request == "" && explains(l.Code) && l.At <= at && l.At > at-before {
			s.Around = append(s.Around, l)
		}
	}
	s.Sentence = sentence(s)
	return s, nil
}

// read returns the lines of a log. What stands before the first brace, such as a host's name, is passed over.
func read(r io.Reader) ([]Line, error) {
	var out []Line
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLine)
	for in.Scan() {
		at := bytes.IndexByte(in.Bytes(), '{')
		if at < 0 {
			continue
		}
		var l Line
		if json.Unmarshal(in.Bytes()[at:], &l) == nil && l.Code != 0 {
			out = append(out, l)
		}
	}
	return out, in.Err()
}

// explains reports whether an event may be the cause of what happens to requests afterwards.
func explains(code yuccahinge.EventCode) bool {
	switch code {
	case event.ProcessStarted, event.ProcessUnready, event.ProcessDraining, event.ProcessPaused, event.DrainCut,
		event.TicketInForce, event.TicketRefused, event.PlatformDown, event.PlatformBack, event.SearchersChanged,
		event.DomainCut, event.DomainBack, event.HelperFailed, event.InvariantBroken:
		return true
	default:
		return false
	}
}

func sentence(s *Story) string {
	if len(s.Lines) == 0 {
		return "No log has a line of this request: it did not reach a host, went as it should and was not sampled, or its line was over the bound (look for linesDropped)."
	}
	l := s.Lines[len(s.Lines)-1]
	for _, other := range s.Lines {
		if other.Code == event.SearchRefused || other.Code == event.SearchAnswered {
			l = other
		}
	}
	if l.Code == event.SearchRefused {
		return fmt.Sprintf("Host %s gave no answer after %.1f ms: %s.", l.Host, l.TookMs, l.Detail)
	}
	if l.Detail == "" {
		return fmt.Sprintf("Host %s answered in full after %.1f ms.", l.Host, l.TookMs)
	}
	return fmt.Sprintf("Host %s answered after %.1f ms: %s.", l.Host, l.TookMs, l.Detail)
}
