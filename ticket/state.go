package ticket

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/yuccahinge/yuccahinge"
)

// DigestOf returns the digest of a state: the SHA-256 of its JSON form without the digest, in hexadecimal.
// encoding/json sorts map keys, so equal states have equal digests.
func DigestOf(s *yuccahinge.State) yuccahinge.Digest {
	undigested := yuccahinge.State{Ticket: s.Ticket, Services: s.Services, Calendars: s.Calendars, Routing: s.Routing, Evacuated: slices.Sorted(slices.Values(s.Evacuated))}
	if undigested.Services == nil {
		undigested.Services = map[yuccahinge.ServiceName]*yuccahinge.Service{}
	}
	if undigested.Calendars == nil {
		undigested.Calendars = map[yuccahinge.CalendarName]*yuccahinge.Calendar{}
	}
	data, err := json.Marshal(undigested)
	if err != nil {
		// Marshal fails only on a number that is not finite, and no checked state has one.
		return ""
	}
	sum := sha256.Sum256(data)
	return yuccahinge.Digest(hex.EncodeToString(sum[:]))
}

// CheckState returns an error for the first invalid value in a whole state, including its digest.
func CheckState(s *yuccahinge.State) error {
	for _, name := range sortedKeys(s.Services) {
		if err := checkStateService(string(name), s.Services[name]); err != nil {
			return err
		}
	}
	for _, name := range sortedKeys(s.Calendars) {
		if s.Calendars[name] == nil {
			return invalid("calendars."+string(name), "null is not a calendar")
		}
		if err := checkCalendar(string(name), s.Calendars[name]); err != nil {
			return err
		}
	}
	if err := checkCalendarNames(s); err != nil {
		return err
	}
	if err := checkRouting(s.Routing); err != nil {
		return err
	}
	if err := checkEvacuated(s.Evacuated); err != nil {
		return err
	}
	if digest := DigestOf(s); digest != s.Digest {
		return invalid("digest", "%q does not match the computed digest %q", s.Digest, digest)
	}
	return nil
}

func checkStateService(name string, s *yuccahinge.Service) error {
	if s == nil {
		return invalid("services."+name, "null is not a service")
	}
	if err := checkService(name, s); err != nil {
		return err
	}
	if s.Previous == nil {
		return nil
	}
	return checkIndex("services."+name+".previous", s.Kind, s.Previous)
}
