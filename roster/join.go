package roster

import (
	"cmp"
	"slices"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/rendez"
)

const (
	// joinStrong is the number of the strongest hosts of the own failure domain in JoinRows, and joinRemoteStrong that of each
	// other domain: they run wide requests, or parts of them, for others.
	joinStrong       = 3
	joinRemoteStrong = 2
	// joinOthers is the number of other hosts of the own failure domain in JoinRows, and joinRemoteOthers that of each other
	// domain, with which a host exchanges next.
	joinOthers       = 8
	joinRemoteOthers = 1
)

// JoinRows returns rows for a host that starts: the strongest hosts of each failure domain, some others of its own and one of
// each other domain. Their number does not depend on the size of the fleet. All hosts of a fleet may start at once, and a seed
// that sent each of them every row would fill its link for seconds.
func (r *Roster) JoinRows(of *yuccahinge.Member) []Row {
	byDomain := make(map[yuccahinge.DomainID][]string)
	for id, e := range r.rows {
		m := &e.row.Member
		if m.Status == yuccahinge.StatusLive && m.ID != of.ID {
			byDomain[m.Domain] = append(byDomain[m.Domain], string(id))
		}
	}
	var out []Row
	for domain, ids := range byDomain {
		// The order differs between the hosts that start, so that equally strong hosts get equally many calls.
		ids = rendez.Order(of.ID, ids)
		slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(r.cores(b), r.cores(a)) })
		strong, n := joinRemoteStrong, joinRemoteOthers
		if domain == of.Domain {
			strong, n = joinStrong, joinOthers
		}
		strong = min(strong, len(ids))
		others := rendez.Order(of.ID, ids[strong:])
		for _, id := range append(ids[:strong:strong], others[:min(n, len(others))]...) {
			out = append(out, r.rows[yuccahinge.HostID(id)].row)
		}
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	return out
}

func (r *Roster) cores(id string) float64 { return r.rows[yuccahinge.HostID(id)].row.Member.Cores }
