package logs

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
)

// writtenLines returns the lines written for the events with a limit of 10 lines per second.
func writtenLines(t *testing.T, events ...yuccahinge.Event) []string {
	t.Helper()
	var out bytes.Buffer
	w := &Writer{Out: &out, LinesPerSecond: 10}
	w.Start()
	for _, e := range events {
		w.Enqueue(e)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := w.Run(ctx); err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSpace(out.String()), "\n")
}

func TestLineHasTheFieldsOfTheEvent(t *testing.T) {
	lines := writtenLines(t, yuccahinge.Event{Code: event.SearchRefused, Name: "searchRefused", Host: "e1", Request: "r", Detail: "why", TookMs: 3})
	var got map[string]any
	if err := json.Unmarshal([]byte(lines[0]), &got); err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]any{"msg": "searchRefused", "level": "WARN", "host": "e1", "request": "r", "detail": "why", "tookMs": 3.0} {
		if got[key] != want {
			t.Errorf("%s is %v, want %v", key, got[key], want)
		}
	}
}

func TestRateIsLimitedAndFailuresAreWritten(t *testing.T) {
	var events []yuccahinge.Event
	for range 500 {
		events = append(events, yuccahinge.Event{Code: event.SearchAnswered, Name: "good"})
	}
	events = append(events, yuccahinge.Event{Code: event.SearchRefused, Name: "refused"})
	for range 300 {
		events = append(events, yuccahinge.Event{Code: event.SearchAnswered, Name: "partial", Detail: "partial"})
	}
	lines := writtenLines(t, events...)
	if len(lines) != 11 || !strings.Contains(strings.Join(lines, ""), `"refused"`) {
		t.Fatalf("got %d lines, want 11 with the refused request: %s", len(lines), lines)
	}
	if last := lines[len(lines)-1]; !strings.Contains(last, "linesDropped") {
		t.Errorf("the last line is %s, want the number of dropped lines", last)
	}
}
