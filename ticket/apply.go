package ticket

import (
	"cmp"
	"maps"
	"slices"

	"github.com/yuccahinge/yuccahinge"
)

// Apply applies t to s and returns the new state. It changes neither s nor t, but the new state shares unchanged
// values with both. A nil s is the empty state before the first ticket.
func Apply(s *yuccahinge.State, t *yuccahinge.Ticket) (*yuccahinge.State, error) {
	if s == nil {
		s = new(yuccahinge.State)
	}
	if t.Number != s.Ticket+1 {
		return nil, invalid("number", "ticket %d does not follow ticket %d", t.Number, s.Ticket)
	}
	if err := Check(t); err != nil {
		return nil, err
	}
	services, err := applyServices(s, t)
	if err != nil {
		return nil, err
	}
	next := &yuccahinge.State{
		Ticket:    t.Number,
		Services:  services,
		Calendars: applyCalendars(s, t),
		Routing:   cmp.Or(t.Routing, s.Routing),
		Evacuated: s.Evacuated,
	}
	if t.Evacuated != nil {
		next.Evacuated = slices.Sorted(slices.Values(*t.Evacuated))
	}
	if err := checkCalendarNames(next); err != nil {
		return nil, err
	}
	next.Digest = DigestOf(next)
	return next, nil
}

func applyServices(s *yuccahinge.State, t *yuccahinge.Ticket) (map[yuccahinge.ServiceName]*yuccahinge.Service, error) {
	out := make(map[yuccahinge.ServiceName]*yuccahinge.Service, len(s.Services)+len(t.Services))
	maps.Copy(out, s.Services)
	for _, name := range sortedKeys(t.Services) {
		service := t.Services[name]
		if service == nil {
			delete(out, name)
			continue
		}
		merged, err := applyService(name, s.Services[name], service)
		if err != nil {
			return nil, err
		}
		out[name] = merged
	}
	return out, nil
}

// applyService returns next with its previous index set: the index of old if the version changed, else the previous
// index of old. Without a change of version the shard ranges must stay the same.
func applyService(name yuccahinge.ServiceName, old, next *yuccahinge.Service) (*yuccahinge.Service, error) {
	merged := *next
	if old == nil {
		return &merged, nil
	}
	if old.Index.Version != next.Index.Version {
		previous := old.Index
		merged.Previous = &previous
		return &merged, nil
	}
	if !hasSameRanges(old.Index.Shards, next.Index.Shards) {
		return nil, invalid("services."+string(name)+".index.version",
			"%d is already in use with other shard ranges", next.Index.Version)
	}
	merged.Previous = old.Previous
	return &merged, nil
}

// hasSameRanges reports whether two shard maps have the same ids and ranges. Their replicas may differ.
func hasSameRanges(a, b []yuccahinge.Shard) bool {
	return slices.EqualFunc(a, b, func(x, y yuccahinge.Shard) bool {
		return x.ID == y.ID && x.From == y.From && x.To == y.To
	})
}

func applyCalendars(s *yuccahinge.State, t *yuccahinge.Ticket) map[yuccahinge.CalendarName]*yuccahinge.Calendar {
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

// checkCalendarNames checks that each calendar named by a service exists.
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
