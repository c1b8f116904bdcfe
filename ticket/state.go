package ticket

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/yuccahinge/yuccahinge"
)

// DigestOf returns the digest of a state: the hash of its JSON form without the digest itself.
// encoding/json sorts the keys of maps, so equal states have equal digests.
func DigestOf(s *yuccahinge.State) yuccahinge.Digest {
	bare := yuccahinge.State{Ticket: s.Ticket, Services: s.Services, Calendars: s.Calendars, Routing: s.Routing}
	if bare.Services == nil {
		bare.Services = map[yuccahinge.ServiceName]*yuccahinge.Service{}
	}
	if bare.Calendars == nil {
		bare.Calendars = map[yuccahinge.CalendarName]*yuccahinge.Calendar{}
	}
	data, err := json.Marshal(bare)
	if err != nil {
		// Only a number that is not finite gets here, and no checked state has one.
		return ""
	}
	sum := sha256.Sum256(data)
	return yuccahinge.Digest(hex.EncodeToString(sum[:]))
}

// CheckState reports the first thing in a whole state that is wrong, its digest included.
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
	if digest := DigestOf(s); digest != s.Digest {
		return invalid("digest", "%q is not that of the state, %q", s.Digest, digest)
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
