package census

import (
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// maxNameBytes bounds the names in a registration.
	maxNameBytes = 200
	// maxSlots is the number of requests above which no searcher runs requests at once.
	maxSlots = 65536
	// maxGeneration is the last time up to which all whole milliseconds have an exact representation in JSON.
	maxGeneration = 1 << 53
	// maxWarmupMs bounds the time for which a searcher is slow after its start.
	maxWarmupMs = 24 * 3600 * yuccahinge.Second
)

// Check returns an error if a registration names no searcher that can be called.
func Check(r *yuccahinge.Registration) error {
	for _, f := range []struct{ what, name string }{
		{"id", string(r.ID)}, {"instance", r.Instance}, {"service", string(r.Service)},
	} {
		if f.name == "" || !isName(f.name) {
			return errors.Newf("the %s is not a name", f.what)
		}
	}
	addr, err := netip.ParseAddrPort(r.Addr)
	ip := addr.Addr()
	switch {
	case !isName(string(r.Domain)):
		return errors.New("the failure domain is not a name")
	case err != nil || ip.Zone() != "":
		return errors.New("the address is not an IP and a port")
	case addr.Port() == 0:
		return errors.New("the port is not from 1 to 65535")
	case ip.IsUnspecified() || ip.IsMulticast() || ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}):
		return errors.New("the IP is not that of one host")
	case r.Slots < 1 || r.Slots > maxSlots:
		return errors.Newf("the number of slots is not from 1 to %d", maxSlots)
	case r.Generation < 1 || r.Generation > maxGeneration:
		return errors.New("the time of the start is out of range")
	case !(r.WarmupLeftMs >= 0 && r.WarmupLeftMs <= maxWarmupMs):
		return errors.New("the remaining warm-up time is out of range")
	}
	return nil
}

// IsName reports whether a text is a name: not empty, and fit for a header field and for a log.
func IsName(s string) bool { return s != "" && isName(s) }

// isName reports whether a text can be used in a header field and in a log.
func isName(s string) bool {
	return len(s) <= maxNameBytes && utf8.ValidString(s) && strings.IndexFunc(s, unicode.IsControl) < 0
}
