package roster

import (
	"net/netip"

	"github.com/yuccahinge/yuccahinge"
)

// Row is what entry hosts tell each other of one of them.
type Row struct {
	Member yuccahinge.Member `json:"member"`
	// Epoch orders the rows of one host. Only the host itself raises it: at its start, and to refute
	// what others believe of it. Zero marks a row of the platform's list that no host has confirmed.
	Epoch uint64 `json:"epoch"`
}

// maxEpoch leaves room above every epoch taken from a clock.
const maxEpoch = 1 << 60

// maxName bounds the ids in a row, in bytes.
const maxName = 128

// valid reports whether a row from outside can be kept.
func (r *Row) valid() bool {
	m := &r.Member
	if m.ID == "" || len(m.ID) > maxName || len(m.Domain) > maxName || len(m.Incarnation) > maxName {
		return false
	}
	if r.Epoch > maxEpoch || rank(m.Status) == 0 {
		return false
	}
	if m.Role != "" && m.Role != yuccahinge.RoleEntry {
		return false
	}
	return validAddr(m.PeerAddr) && validAddr(m.AdminAddr) && validAddr(m.CallerAddr)
}

func validAddr(addr string) bool {
	if addr == "" {
		return true
	}
	_, err := netip.ParseAddrPort(addr)
	return err == nil
}

// rank orders the statuses of one epoch: the graver one stands until the host itself refutes it.
func rank(s yuccahinge.MemberStatus) int {
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

// newer reports whether r says more than o.
func (r *Row) newer(o *Row) bool {
	if r.Epoch != o.Epoch {
		return r.Epoch > o.Epoch
	}
	return rank(r.Member.Status) > rank(o.Member.Status)
}
