package roster

import (
	"net/netip"

	"github.com/yuccahinge/yuccahinge"
)

// Row is the membership record of one entry host, as the hosts exchange it.
type Row struct {
	Member yuccahinge.Member `json:"member"`
	// Epoch orders the rows of one host. Only the host itself raises it: when it starts, and to refute a wrong row
	// about it. Zero marks a row of the platform's list that no host has confirmed.
	Epoch uint64 `json:"epoch"`
}

// maxEpoch is far above every epoch taken from a clock and leaves room to raise it.
const maxEpoch = 1 << 60

// maxIDBytes limits each id in a row, in bytes.
const maxIDBytes = 128

// isValid reports whether a received row is within the limits and well-formed.
func (r *Row) isValid() bool {
	m := &r.Member
	if m.ID == "" || len(m.ID) > maxIDBytes || len(m.Domain) > maxIDBytes || len(m.Incarnation) > maxIDBytes {
		return false
	}
	if r.Epoch > maxEpoch || severity(m.Status) == 0 {
		return false
	}
	if m.Role != "" && m.Role != yuccahinge.RoleEntry {
		return false
	}
	return isValidAddr(m.PeerAddr) && isValidAddr(m.AdminAddr) && isValidAddr(m.CallerAddr)
}

func isValidAddr(addr string) bool {
	if addr == "" {
		return true
	}
	_, err := netip.ParseAddrPort(addr)
	return err == nil
}

// severity orders the statuses of one epoch. A higher one overrides a lower one until the host itself refutes it. It is 0
// for an unknown status.
func severity(s yuccahinge.MemberStatus) int {
	switch s {
	case yuccahinge.StatusLive:
		return 1
	case yuccahinge.StatusLeaving:
		return 2
	case yuccahinge.StatusSuspect:
		return 3
	case yuccahinge.StatusDead:
		return 4
	}
	return 0
}

// overrides reports whether r overrides o.
func (r *Row) overrides(o *Row) bool {
	if r.Epoch != o.Epoch {
		return r.Epoch > o.Epoch
	}
	return severity(r.Member.Status) > severity(o.Member.Status)
}
