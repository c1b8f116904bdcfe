// Package share provides a host's share of a searcher's connections.
package share

// Share divides the connections of searchers among the entry hosts. The zero value is ready to use.
type Share struct{}

// Limit returns the connections that one host may hold at a searcher that accepts total connections.
// Hosts counts every entry host that may hold connections there: leaving hosts and their replacements
// both count. At least one connection is granted, and one stays free for a host that is not yet known
// to the others where total allows it.
func (Share) Limit(total, hosts int) int {
	hosts = max(hosts, 1)
	if total <= hosts {
		return 1
	}
	return max(1, (total-1)/hosts)
}

// First returns the connections that a new host may hold until the other hosts have made room for it.
func (s Share) First(total, hosts int) int {
	if hosts <= 1 {
		return s.Limit(total, hosts)
	}
	free := total - (hosts-1)*s.Limit(total, hosts-1)
	return min(s.Limit(total, hosts), max(1, free))
}
