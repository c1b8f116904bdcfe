package ticket

import (
	"cmp"
	"maps"
	"slices"

	"github.com/yuccahinge/yuccahinge"
)

// Fold returns the state that follows s when t is in force. It changes neither s nor t, and shares
// with them what stays. A nil s is the empty state before the first ticket.
func Fold(s *yuccahinge.State, t *yuccahinge.Ticket) (*yuccahinge.State, error) {
	if s == nil {
		s = new(yuccahinge.State)
	}
	if t.Number != s.Ticket+1 {
		return nil, invalid("number", "%d does not follow %d", t.Number, s.Ticket)
	}
	if err := Check(t); err != nil {
		return nil, err
	}
	services, err := foldServices(s, t)
	if err != nil {
		return nil, err
	}
	next := &yuccahinge.State{
		Ticket:    t.Number,
		Services:  services,
		Calendars: foldCalendars(s, t),
		Routing:   cmp.Or(t.Routing, s.Routing),
	}
	if err := checkCalendarNames(next); err != nil {
		return nil, err
	}
	next.Digest = DigestOf(next)
	return next, nil
}

func foldServices(s *yuccahinge.State, t *yuccahinge.Ticket) (map[yuccahinge.ServiceName]*yuccahinge.Service, error) {
	out := make(map[yuccahinge.ServiceName]*yuccahinge.Service, len(s.Services)+len(t.Services))
	maps.Copy(out, s.Services)
	for _, name := range sortedKeys(t.Services) {
		service := t.Services[name]
		if service == nil {
			delete(out, name)
			continue
		}
		merged, err := foldService(name, s.Services[name], service)
		if err != nil {
			return nil, err
		}
		out[name] = merged
	}
	return out, nil
}

func foldService(name yuccahinge.ServiceName, old, next *yuccahinge.Service) (*yuccahinge.Service, error) {
	merged := *next
	if old == nil {
		return &merged, nil
	}
	if old.Index.Version != next.Index.Version {
		previous := old.Index
		merged.Previous = &previous
		return &merged, nil
	}
	if !sameShards(old.Index.Shards, next.Index.Shards) {
		return nil, invalid("services."+string(name)+".index.version",
			"%d stands already for other shards", next.Index.Version)
	}
	merged.Previous = old.Previous
	return &merged, nil
}

// sameShards reports whether two shard maps divide the key space alike; their replicas may differ.
func sameShards(a, b []yuccahinge.Shard) bool {
	return slices.EqualFunc(a, b, func(x, y yuccahinge.Shard) bool {
		return x.ID == y.ID && x.From == y.From && x.To == y.To
	})
}

func foldCalendars(s *yuccahinge.State, t *yuccahinge.Ticket) map[yuccahinge.CalendarName]*yuccahinge.Calendar {
	out := make(map[yuccahinge.CalendarName]*yuccahinge.Calendar, len(s.Calendars)+len(t.Calendars))
	maps.Copy(out, s.Calendars)
	for name, c := range t.Calendars {
		if c == nil {
			delete(out, name)
			continue
		}
		out[name] = c
	}
	return out
}

func checkCalendarNames(s *yuccahinge.State) error {
	for _, name := range sortedKeys(s.Services) {
		calendar := s.Services[name].Calendar
		if calendar == "" || s.Calendars[calendar] != nil {
			continue
		}
		return invalid("services."+string(name)+".calendar", "%q is not a calendar of the state", calendar)
	}
	return nil
}
