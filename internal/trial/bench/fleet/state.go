package fleet

import "github.com/yuccahinge/yuccahinge"

// maxHits is above what any query of the bench returns, so that no hit is cut away.
const maxHits = 10_000

// State returns the state that entry hosts of the domain see, with addresses that lead through the links.
// A version above 1 has shards shards over the same searchers and follows the version before it.
func (f *Fleet) State(domain yuccahinge.DomainID, version yuccahinge.IndexVersion, shards int) *yuccahinge.State {
	p := &f.Plan
	service := &yuccahinge.Service{
		Kind:           yuccahinge.KindSearch,
		Preference:     p.Preference,
		DeadlineMs:     p.DeadlineMs,
		SoftDeadlineMs: p.SoftDeadlineMs,
		EnoughCoverage: p.EnoughCoverage,
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
			Addr:        f.addr(domain, s),
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

// shard places the shard numbered i on the replicas of a searcher group.
func (f *Fleet) shard(i, shards int) yuccahinge.Shard {
	s := yuccahinge.Shard{
		ID:   yuccahinge.ShardID(i),
		From: uint32(i * yuccahinge.KeySpace / shards),
		To:   uint32((i + 1) * yuccahinge.KeySpace / shards),
	}
	for _, server := range f.Searchers {
		if server.Shard == i%f.Plan.FanOut {
			s.Searchers = append(s.Searchers, server.ID)
		}
	}
	return s
}

func (f *Fleet) addr(domain yuccahinge.DomainID, s *Server) string {
	if l := f.links[route{domain, s.ID}]; l != nil {
		return l.Addr()
	}
	return s.Addr()
}
