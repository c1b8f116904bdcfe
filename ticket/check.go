package ticket

import (
	"math"
	"net/netip"
	"regexp"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/census"
)

// Limits of the values in a ticket.
const (
	maxDeadline    = 600 * yuccahinge.Second
	maxVersionHold = 3600 * yuccahinge.Second
	maxConnect     = 60 * yuccahinge.Second
	maxHits        = 100000
	maxSlots       = 65536
	maxConnections = 65536
	maxNoteBytes   = 4096
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// Check returns an error for the first invalid value in a ticket. The error names the field and the value. Apply
// checks what depends on earlier tickets, such as the order of numbers and the existence of a calendar.
func Check(t *yuccahinge.Ticket) error {
	if t.Number == 0 {
		return invalid("number", "0 is the number of the empty state")
	}
	if len(t.Note) > maxNoteBytes {
		return invalid("note", "%d bytes are above the limit of %d", len(t.Note), maxNoteBytes)
	}
	for _, name := range sortedKeys(t.Services) {
		if err := checkTicketService(string(name), t.Services[name]); err != nil {
			return err
		}
	}
	for _, name := range sortedKeys(t.Calendars) {
		if err := checkCalendar(string(name), t.Calendars[name]); err != nil {
			return err
		}
	}
	if t.Evacuated != nil {
		if err := checkEvacuated(*t.Evacuated); err != nil {
			return err
		}
	}
	return checkRouting(t.Routing)
}

// checkEvacuated checks a list of evacuated failure domains.
func checkEvacuated(domains []yuccahinge.DomainID) error {
	seen := make(map[yuccahinge.DomainID]bool, len(domains))
	for _, d := range domains {
		if !census.IsName(string(d)) {
			return invalid("evacuated", "%q is not a name", d)
		}
		if seen[d] {
			return invalid("evacuated", "%q is repeated", d)
		}
		seen[d] = true
	}
	return nil
}

// checkTicketService checks a service in a ticket. Unlike one in a state, it must not have a previous index.
func checkTicketService(name string, s *yuccahinge.Service) error {
	if s != nil && s.Previous != nil {
		return invalid("services."+name+".previous", "version %d is set, but a ticket must not set it", s.Previous.Version)
	}
	return checkService(name, s)
}

func checkService(name string, s *yuccahinge.Service) error {
	path := "services." + name
	if !namePattern.MatchString(name) {
		return invalid("services", "the name %q does not match %s", name, namePattern)
	}
	if s == nil {
		return nil
	}
	if err := checkPolicy(path, s); err != nil {
		return err
	}
	return checkIndex(path+".index", s.Kind, &s.Index)
}

func checkPolicy(path string, s *yuccahinge.Service) error {
	switch s.Kind {
	case yuccahinge.KindSearch, yuccahinge.KindCharge:
	default:
		return invalid(path+".kind", "%q is not search or charge", s.Kind)
	}
	switch s.Preference {
	case "", yuccahinge.PreferLatency, yuccahinge.PreferCoverage:
	default:
		return invalid(path+".preference", "%q is not latency or coverage", s.Preference)
	}
	if err := checkMillis(path+".deadlineMs", s.DeadlineMs, maxDeadline); err != nil {
		return err
	}
	if err := checkMillis(path+".softDeadlineMs", s.SoftDeadlineMs, maxDeadline); err != nil {
		return err
	}
	if s.DeadlineMs > 0 && s.SoftDeadlineMs > s.DeadlineMs {
		return invalid(path+".softDeadlineMs", "%v is above deadlineMs %v", s.SoftDeadlineMs, s.DeadlineMs)
	}
	if !(s.EnoughCoverage >= 0 && s.EnoughCoverage <= 1) {
		return invalid(path+".enoughCoverage", "%v is not a share from 0 to 1", s.EnoughCoverage)
	}
	if err := checkMillis(path+".versionHoldMs", s.VersionHoldMs, maxVersionHold); err != nil {
		return err
	}
	if s.MaxHits < 0 || s.MaxHits > maxHits {
		return invalid(path+".maxHits", "%d is not from 0 to %d", s.MaxHits, maxHits)
	}
	if s.Calendar != "" && !namePattern.MatchString(string(s.Calendar)) {
		return invalid(path+".calendar", "the name %q does not match %s", s.Calendar, namePattern)
	}
	return nil
}

func checkMillis(path string, m, limit yuccahinge.Millis) error {
	if math.IsNaN(float64(m)) || m < 0 || m > limit {
		return invalid(path, "%v is not from 0 to %v milliseconds", m, limit)
	}
	return nil
}

func checkCalendar(name string, c *yuccahinge.Calendar) error {
	path := "calendars." + name
	if !namePattern.MatchString(name) {
		return invalid("calendars", "the name %q does not match %s", name, namePattern)
	}
	if c == nil {
		return nil
	}
	seen := make(map[string]bool, len(c.Holidays))
	for _, day := range c.Holidays {
		if _, err := time.Parse(time.DateOnly, day); err != nil {
			return invalid(path+".holidays", "%q is not a date in the form yyyy-mm-dd", day)
		}
		if seen[day] {
			return invalid(path+".holidays", "%q is repeated", day)
		}
		seen[day] = true
	}
	return nil
}

func checkAddr(path, addr string) error {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil || ap.Port() == 0 {
		return invalid(path, "%q is not an IP address and port", addr)
	}
	return nil
}
