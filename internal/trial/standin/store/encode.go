package store

import "encoding/json"

const evacuationsPrefix = "op/evacuate/"

// Route is a route of the configuration. A route with Shards is sent to all of them, one without to Service.
type Route struct {
	Name, Host, Prefix string
	// AtMostOnce marks the requests as not idempotent: they run at most once (kind unsafe).
	AtMostOnce  bool
	Service     string
	Shards      []string
	TopK        int
	MinCoverage float64
	TimeoutMs   int
	ObjectiveMs int
	Attempts    int
}

// Searcher is an entry in the list of searchers.
type Searcher struct {
	Service, Addr, Domain string
	Slots                 int
	Draining              bool
	Sequence, Generation  int64
}

// CallerLimits holds the limits on callers that a configuration has beside the size of bodies. Zero values are left out.
type CallerLimits struct {
	HeaderBytes int `json:"max_header_bytes,omitempty"`
	HeaderMs    int `json:"header_timeout_ms,omitempty"`
	IdleMs      int `json:"idle_timeout_ms,omitempty"`
	BodyBytes   int `json:"max_body_bytes"`
}

// PutConfig writes the operator's configuration. The parameter connections is the connection limit of each searcher,
// bodyBytes the maximum size of a request body.
func (s *Store) PutConfig(version int64, routes []Route, services []string, connections, bodyBytes int) {
	s.PutLimitedConfig(version, routes, services, connections, CallerLimits{BodyBytes: bodyBytes})
}

// PutLimitedConfig is like PutConfig, with all limits on callers.
func (s *Store) PutLimitedConfig(version int64, routes []Route, services []string, connections int, limits CallerLimits) {
	var encodedRoutes []map[string]any
	for i := range routes {
		encodedRoutes = append(encodedRoutes, routes[i].encode())
	}
	var encodedServices []map[string]any
	for _, name := range services {
		encodedServices = append(encodedServices, map[string]any{"name": name, "health_path": "/health", "max_conns": connections})
	}
	s.Put("op/config", encode(map[string]any{
		"version": version, "routes": encodedRoutes, "services": encodedServices, "limits": limits,
	}))
}

func (r *Route) encode() map[string]any {
	kind := "safe"
	if r.AtMostOnce {
		kind = "unsafe"
	}
	out := map[string]any{
		"name": r.Name, "host": r.Host, "prefix": r.Prefix, "kind": kind, "timeout_ms": r.TimeoutMs, "slo_ms": r.ObjectiveMs,
		"attempts": r.Attempts, "priority": 1,
	}
	if len(r.Shards) > 0 {
		out["gather"], out["top_k"], out["min_share"] = r.Shards, r.TopK, r.MinCoverage
	} else {
		out["service"] = r.Service
	}
	return out
}

// PutSearcher writes the entry of a searcher. A searcher does so with each heartbeat.
func (s *Store) PutSearcher(id string, entry Searcher) {
	state := "ready"
	if entry.Draining {
		state = "draining"
	}
	s.Put("servers/"+id, encode(map[string]any{
		"service": entry.Service, "addr": entry.Addr, "zone": entry.Domain, "version": "v1", "max_concurrency": entry.Slots, "state": state,
		"warmup_left_ms": 0, "sequence": entry.Sequence, "born": entry.Generation,
	}))
}

// PutEvacuation writes the key that asks for the evacuation of a failure domain.
func (s *Store) PutEvacuation(domain string) { s.Put(evacuationsPrefix+domain, []byte("{}")) }

// EndEvacuation removes the key that asks for the evacuation of a failure domain.
func (s *Store) EndEvacuation(domain string) { s.Delete(evacuationsPrefix + domain) }

// DeleteSearcher removes the entry of a searcher.
func (s *Store) DeleteSearcher(id string) { s.Delete("servers/" + id) }

func encode(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // unreachable: the values hold only types that JSON can encode
	}
	return body
}
