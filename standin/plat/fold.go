package plat

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"

	"github.com/yuccahinge/yuccahinge"
)

// fold is the minimal fold: last writer per key.
func fold(s *yuccahinge.State, t *yuccahinge.Ticket) (*yuccahinge.State, error) {
	next := &yuccahinge.State{
		Services:  map[yuccahinge.ServiceName]*yuccahinge.Service{},
		Calendars: map[yuccahinge.CalendarName]*yuccahinge.Calendar{},
	}
	if s != nil {
		maps.Copy(next.Services, s.Services)
		maps.Copy(next.Calendars, s.Calendars)
	}
	next.Ticket = t.Number
	for name, service := range t.Services {
		replace(next.Services, name, withPrevious(next.Services[name], service))
	}
	for name, calendar := range t.Calendars {
		replace(next.Calendars, name, calendar)
	}
	body, err := json.Marshal(next)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(body)
	next.Digest = yuccahinge.Digest(hex.EncodeToString(sum[:]))
	return next, nil
}

func replace[K comparable, V any](m map[K]*V, key K, v *V) {
	if v == nil {
		delete(m, key)
		return
	}
	m[key] = v
}

// withPrevious keeps the index that a new version replaces.
func withPrevious(old, service *yuccahinge.Service) *yuccahinge.Service {
	if old == nil || service == nil {
		return service
	}
	next := *service
	next.Previous = old.Previous
	if old.Index.Version != service.Index.Version {
		next.Previous = &old.Index
	}
	return &next
}
