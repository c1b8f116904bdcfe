package fleet

import "github.com/yuccahinge/yuccahinge"

// maxHits exceeds the number of hits of any query of the benchmark, so that no answer is truncated.
const maxHits = 10_000

// State returns the state for entry hosts of the domain, in which searchers of other domains have the addresses of their
// links. The index has the given number of shards on the same searchers; if its version is above 1, the previous version
// with Plan.FanOut shards is included.
func (f *Fleet) State(domain yuccahinge.DomainID, version yuccahinge.IndexVersion, shards int) *yuccahinge.State {
	p := &f.Plan
	service := &yuccahinge.Service{
		Kind:           yuccahinge.KindSearch,
		Preference:     p.Preference,
		DeadlineMs:     p.DeadlineMs,
		SoftDeadlineMs: p.SoftDeadlineMs,
		EnoughCoverage: yuccahinge.ShardShare(p.EnoughCoverage),
		VersionHoldMs:  p.VersionHoldMs,
		MaxHits:        maxHits,
		Index:          *f.index(domain, version, shards),
	}
	if version > 1 {
		service.Previous = f.index(domain, version-1, p.FanOut)
	}
	return &yuccahinge.State{
		Ticket:   yuccahinge.TicketNumber(version),
		Services: map[yuccahinge.ServiceName]*yuccahinge.Service{p.Service: service},
	}
}

func (f *Fleet) index(domain yuccahinge.DomainID, version yuccahinge.IndexVersion, shards int) *yuccahinge.Index {
	ix := &yuccahinge.Index{
		Version:   version,
		Searchers: map[yuccahinge.SearcherID]*yuccahinge.Searcher{},
	}
	for _, s := range f.Searchers {
		ix.Searchers[s.ID] = &yuccahinge.Searcher{
			Addr:        f.addrFrom(domain, s),
			Domain:      s.Domain,
			Slots:       f.Plan.Slots,
			Connections: f.Plan.Connections,
			ConnectMs:   f.Plan.ConnectMs,
			Protocol:    f.Plan.Protocol,
		}
	}
	for i := range shards {
		ix.Shards = append(ix.Shards, f.shard(i, shards))
	}
	return ix
}

// shard returns shard i of an index with the given number of shards, on the searchers of fleet shard i modulo Plan.FanOut.
func (f *Fleet) shard(i, shards int) yuccahinge.Shard {
	s := yuccahinge.Shard{
		ID:   yuccahinge.ShardID(i),
		From: uint32(i * yuccahinge.HashSlots / shards),
		To:   uint32((i + 1) * yuccahinge.HashSlots / shards),
	}
	for _, searcher := range f.Searchers {
		if searcher.Shard == i%f.Plan.FanOut {
			s.Searchers = append(s.Searchers, searcher.ID)
		}
	}
	return s
}

// addrFrom returns the address of a searcher for hosts of the domain: that of the link, or its own in the same domain.
func (f *Fleet) addrFrom(domain yuccahinge.DomainID, s *Server) string {
	if l := f.links[crossDomainRoute{domain, s.ID}]; l != nil {
		return l.Addr()
	}
	return s.Addr()
}
