// Package ended tells which searchers have ended, from the lists of searchers that the platform publishes one after the other.
package ended

import "github.com/yuccahinge/yuccahinge"

// Detector compares each list of searchers with the one before. The zero value is ready to use. It is not safe for concurrent use.
type Detector struct {
	// known holds the searchers of the last list.
	known map[yuccahinge.SearcherID]*listed
}

// listed is a searcher of the last list.
type listed struct {
	registration *yuccahinge.Registration
	// replaced is set once a later searcher is listed at its address.
	replaced bool
}

// Update takes a list and returns the searchers that have ended since the one before: those that are missing, and those at whose
// address a searcher is listed that started later. A searcher that drained ended as planned, after the requests that it ran, and
// is not returned.
func (d *Detector) Update(services map[yuccahinge.ServiceName][]*yuccahinge.Registration) []yuccahinge.SearcherID {
	next := make(map[yuccahinge.SearcherID]*listed, len(d.known))
	newest := make(map[string]int64, len(d.known)) // generation by address
	for _, all := range services {
		for _, r := range all {
			next[r.ID] = &listed{registration: r}
			newest[r.Addr] = max(newest[r.Addr], r.Generation)
		}
	}
	var out []yuccahinge.SearcherID
	for id, before := range d.known {
		after := next[id]
		isReplaced := before.registration.Generation < newest[before.registration.Addr]
		if after != nil {
			after.replaced = before.replaced || isReplaced
		}
		if !before.registration.Draining && !before.replaced && (after == nil || isReplaced) {
			out = append(out, id)
		}
	}
	d.known = next
	return out
}
