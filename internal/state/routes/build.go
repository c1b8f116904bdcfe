package routes

import (
	"strings"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccahinge/yuccahinge"
)

// indexBuilder builds the indexes of one Plan, to which the routes refer. Routes to the same services share an index.
type indexBuilder struct {
	routing  *yuccahinge.Routing
	services map[yuccahinge.ServiceName][]*yuccahinge.Registration
	indexes  map[string]*yuccahinge.Index // by the joined names of the services
}

func (b *indexBuilder) entry(r *yuccahinge.Route, count *atomic.Uint64) *Entry {
	e := &Entry{Route: r, requestCount: count}
	if r.IsScattered() {
		e.targets = []target{{end: 1, index: b.index(r.Shards)}}
		return e
	}
	sum := 0.0
	for _, w := range r.Weighted {
		sum += w.Weight
	}
	end := 0.0
	for _, w := range r.Weighted {
		if w.Weight <= 0 {
			continue
		}
		end += w.Weight / sum
		e.targets = append(e.targets, target{end: end, index: b.index([]yuccahinge.ServiceName{w.Service})})
	}
	if len(e.targets) == 0 {
		e.targets = []target{{end: 1, index: &yuccahinge.Index{}}}
	}
	return e
}

// index returns an index with one shard for each service, building it on first use.
func (b *indexBuilder) index(services []yuccahinge.ServiceName) *yuccahinge.Index {
	key := joinNames(services)
	if ix := b.indexes[key]; ix != nil {
		return ix
	}
	ix := &yuccahinge.Index{
		ServicesHash: xxhash.Sum64String(key),
		Shards:       make([]yuccahinge.Shard, len(services)),
		Searchers:    make(map[yuccahinge.SearcherID]*yuccahinge.Searcher, 2*len(services)),
	}
	for i, name := range services {
		ix.Shards[i] = yuccahinge.Shard{ID: yuccahinge.ShardID(i), Service: name, Searchers: b.replicas(ix, name)}
	}
	b.indexes[key] = ix
	return ix
}

// replicas adds the searchers of a service to an index and returns their ids. Draining searchers are left out because
// they get no new requests.
func (b *indexBuilder) replicas(ix *yuccahinge.Index, name yuccahinge.ServiceName) []yuccahinge.SearcherID {
	var out []yuccahinge.SearcherID
	for _, r := range b.services[name] {
		if r.Draining {
			continue
		}
		out = append(out, r.ID)
		ix.Searchers[r.ID] = &yuccahinge.Searcher{
			Addr:        r.Addr,
			Domain:      r.Domain,
			Slots:       r.Slots,
			Connections: b.routing.Services[name].Connections,
			HealthPath:  b.routing.Services[name].HealthPath,
			Instance:    r.Instance,
		}
	}
	return out
}

func joinNames(names []yuccahinge.ServiceName) string {
	var sb strings.Builder
	for _, n := range names {
		sb.WriteString(string(n))
		sb.WriteByte('\n')
	}
	return sb.String()
}
