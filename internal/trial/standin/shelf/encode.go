package shelf

import "encoding/json"

// Route is a route of a configuration. Shards make it a scattered one.
type Route struct {
	Name, Host, Prefix string
	// Once says that a request must not run twice.
	Once       bool
	Service    string
	Shards     []string
	Top        int
	LeastShare float64
	TimeoutMs  int
	SloMs      int
	Attempts   int
}

// Searcher is an entry of the list of searchers.
type Searcher struct {
	Service, Addr, Zone string
	Slots               int
	Draining            bool
	Sequence, Born      int64
}

// PutConfig writes the operator's configuration. Connections bounds those of each searcher.
func (s *Shelf) PutConfig(version int64, routes []Route, services []string, connections, bodyBytes int) {
	var out []map[string]any
	for i := range routes {
		out = append(out, routes[i].encode())
	}
	var pools []map[string]any
	for _, name := range services {
		pools = append(pools, map[string]any{"name": name, "health_path": "/health", "max_conns": connections})
	}
	s.Put("op/config", encode(map[string]any{
		"version": version, "routes": out, "services": pools, "limits": map[string]any{"max_body_bytes": bodyBytes},
	}))
}

func (r *Route) encode() map[string]any {
	kind := "safe"
	if r.Once {
		kind = "unsafe"
	}
	out := map[string]any{
		"name": r.Name, "host": r.Host, "prefix": r.Prefix, "kind": kind, "timeout_ms": r.TimeoutMs, "slo_ms": r.SloMs,
		"attempts": r.Attempts, "priority": 1,
	}
	if len(r.Shards) > 0 {
		out["gather"], out["top_k"], out["min_share"] = r.Shards, r.Top, r.LeastShare
	} else {
		out["service"] = r.Service
	}
	return out
}

// PutSearcher writes the entry of a searcher, as with each of its heartbeats.
func (s *Shelf) PutSearcher(id string, e Searcher) {
	state := "ready"
	if e.Draining {
		state = "draining"
	}
	s.Put("servers/"+id, encode(map[string]any{
		"service": e.Service, "addr": e.Addr, "zone": e.Zone, "version": "v1", "max_concurrency": e.Slots, "state": state,
		"warmup_left_ms": 0, "sequence": e.Sequence, "born": e.Born,
	}))
}

// DeleteSearcher removes the entry of a searcher.
func (s *Shelf) DeleteSearcher(id string) { s.Delete("servers/" + id) }

func encode(v any) []byte {
	out, err := json.Marshal(v)
	if err != nil {
		panic(err) // the values here hold nothing that JSON can't express
	}
	return out
}
