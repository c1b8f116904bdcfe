package yuccahinge

// RouteName identifies a Route.
type RouteName string

// RetrySafety says whether a request may be run more than once.
type RetrySafety string

// Values of RetrySafety.
const (
	// Idempotent requests may run any number of times.
	Idempotent RetrySafety = "idempotent"
	// AtMostOnce requests may run at most once for each attempt of the caller.
	AtMostOnce RetrySafety = "atMostOnce"
)

// WeightedService is the relative share of a route's requests that a service receives.
type WeightedService struct {
	Service ServiceName `json:"service"`
	Weight  float64     `json:"weight"`
}

// Route matches requests and names the services that they are sent to. A lookup is sent to one searcher of
// one of Weighted; a scattered request is sent to one searcher of each of Shards.
type Route struct {
	Name RouteName `json:"name"`
	// Host and Prefix match the host and the path of a request. The route with the longest matching prefix is used.
	Host        string      `json:"host"`
	Prefix      string      `json:"prefix"`
	RetrySafety RetrySafety `json:"repeat"`
	// Weighted holds the services of a lookup.
	Weighted []WeightedService `json:"weighted,omitempty"`
	// Shards holds the services of a scattered request, each with one shard of the index.
	Shards []ServiceName `json:"shards,omitempty"`
	// MaxRecords is the maximum number of records in the answer to a scattered request.
	MaxRecords int `json:"maxRecords,omitempty"`
	// MinCoverage is the minimum share of shards, 0 to 1, that an answer must cover.
	MinCoverage ShardShare `json:"leastShare,omitempty"`
	// TimeoutMs is the maximum time for an answer.
	TimeoutMs Millis `json:"timeoutMs"`
	// ObjectiveMs is the latency objective: an answer is on time if the caller has it by then.
	ObjectiveMs Millis `json:"objectiveMs"`
	// Attempts is the maximum number of searchers that one request may reach in each shard.
	Attempts int `json:"attempts"`
	// Priority is the rank of the route's requests; zero is the highest.
	Priority int `json:"priority"`
}

// IsScattered reports whether the route sends each request to every shard.
func (r *Route) IsScattered() bool { return len(r.Shards) > 0 }

// ServiceSettings holds the settings that apply to every searcher of one service.
type ServiceSettings struct {
	// Connections is the maximum number of connections that one searcher accepts from all hosts together.
	Connections int `json:"connections"`
	// HealthPath is the path of the searchers' health check.
	HealthPath string `json:"healthPath,omitempty"`
	// WarmupRate is the rate of requests that a searcher accepts from all hosts together while it is cold; zero for no limit.
	WarmupRate RequestRate `json:"warmupPerSecond,omitempty"`
}

// CallerLimits holds the limits on callers' requests and connections.
type CallerLimits struct {
	HeaderBytes int    `json:"headerBytes,omitempty"`
	BodyBytes   int    `json:"bodyBytes,omitempty"`
	HeaderMs    Millis `json:"headerMs,omitempty"`
	// IdleMs is the maximum time that a caller's connection may be idle.
	IdleMs Millis `json:"idleMs,omitempty"`
}

// Routing is the complete routing table that a ticket sets.
type Routing struct {
	Ticket       TicketNumber                    `json:"ticket"`
	Routes       []*Route                        `json:"routes"`
	Services     map[ServiceName]ServiceSettings `json:"pools"`
	CallerLimits CallerLimits                    `json:"intake"`
}
