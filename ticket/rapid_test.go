package ticket

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/yuccahinge/yuccahinge"
)

// TestApplyMatchesLastWriter compares the state after a sequence of tickets with an oracle that keeps the last value
// written for each key. No Apply may change an earlier state.
func TestApplyMatchesLastWriter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var state *yuccahinge.State
		versions := map[yuccahinge.ServiceName]yuccahinge.IndexVersion{}
		days := map[yuccahinge.CalendarName]string{}
		published := map[*yuccahinge.State]string{}
		for n := range rapid.IntRange(1, 30).Draw(t, "tickets") {
			x := drawTicket(t, yuccahinge.TicketNumber(n+1), versions, days)
			next, err := Apply(state, x)
			if err != nil {
				t.Fatalf("Apply of ticket %d failed: %v", x.Number, err)
			}
			published[next] = encode(t, next)
			state = next
			compareStates(t, state, versions, days)
		}
		for s, before := range published {
			if encode(t, s) != before {
				t.Fatalf("the state of ticket %d changed after it was published", s.Ticket)
			}
		}
	})
}

// drawTicket draws a ticket and records its values in the oracle. The version determines the shard ranges.
func drawTicket(t *rapid.T, n yuccahinge.TicketNumber, versions map[yuccahinge.ServiceName]yuccahinge.IndexVersion, days map[yuccahinge.CalendarName]string) *yuccahinge.Ticket {
	x := &yuccahinge.Ticket{
		Number:    n,
		Services:  map[yuccahinge.ServiceName]*yuccahinge.Service{},
		Calendars: map[yuccahinge.CalendarName]*yuccahinge.Calendar{},
	}
	for range rapid.IntRange(0, 3).Draw(t, "services") {
		name := yuccahinge.ServiceName(fmt.Sprint("s", rapid.IntRange(0, 3).Draw(t, "name")))
		version := yuccahinge.IndexVersion(rapid.IntRange(0, 4).Draw(t, "version"))
		x.Services[name] = nil
		delete(versions, name)
		if version > 0 {
			x.Services[name] = searchService(version, uint32(version)*100)
			versions[name] = version
		}
	}
	for range rapid.IntRange(0, 2).Draw(t, "calendars") {
		name := yuccahinge.CalendarName(fmt.Sprint("c", rapid.IntRange(0, 3).Draw(t, "calendar")))
		day := fmt.Sprintf("2026-01-%02d", rapid.IntRange(0, 28).Draw(t, "day"))
		x.Calendars[name] = nil
		delete(days, name)
		if day != "2026-01-00" {
			x.Calendars[name] = &yuccahinge.Calendar{Holidays: []string{day}}
			days[name] = day
		}
	}
	return x
}

func compareStates(t *rapid.T, s *yuccahinge.State, versions map[yuccahinge.ServiceName]yuccahinge.IndexVersion, days map[yuccahinge.CalendarName]string) {
	if len(s.Services) != len(versions) || len(s.Calendars) != len(days) {
		t.Fatalf("state has %d services and %d calendars, want %d and %d", len(s.Services), len(s.Calendars), len(versions), len(days))
	}
	for name, version := range versions {
		service := s.Services[name]
		if service == nil || service.Index.Version != version {
			t.Fatalf("service %s is %v, want version %d", name, service, version)
		}
		if p := service.Previous; p != nil && p.Version == version {
			t.Fatalf("service %s has its current version %d as previous version", name, version)
		}
	}
	for name, day := range days {
		if c := s.Calendars[name]; c == nil || c.Holidays[0] != day {
			t.Fatalf("calendar %s is %v, want %s", name, c, day)
		}
	}
	if err := CheckState(s); err != nil {
		t.Fatal(err)
	}
}

func encode(t *rapid.T, s *yuccahinge.State) string {
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
