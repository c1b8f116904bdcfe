package yuccahinge

// RouteName names a route.
type RouteName string

// Repeat says whether a request may run more than once.
type Repeat string

// The kinds of repetition.
const (
	// Idempotent requests may run any number of times.
	Idempotent Repeat = "idempotent"
	// AtMostOnce requests may run once for each attempt of their caller.
	AtMostOnce Repeat = "atMostOnce"
)

// Weight is a service's part of a route's requests.
type Weight struct {
	Service ServiceName `json:"service"`
	Weight  float64     `json:"weight"`
}

// Route says which requests it takes and which services they go to. A lookup goes to one searcher of one of
// Weighted; a scattered request goes to one searcher of each of Shards.
type Route struct {
	Name RouteName `json:"name"`
	// Host and Prefix select the requests; the longest prefix of a host that fits a path wins.
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	Repeat Repeat `json:"repeat"`
	// Weighted holds the services of a lookup.
	Weighted []Weight `json:"weighted,omitempty"`
	// Shards holds the services of a scattered request, each with a part of the index.
	Shards []ServiceName `json:"shards,omitempty"`
	// MaxRecords bounds the records of a scattered request's answer.
	MaxRecords int `json:"maxRecords,omitempty"`
	// LeastShare is the share of shards, 0 to 1, without which there is no answer.
	LeastShare float64 `json:"leastShare,omitempty"`
	// TimeoutMs is the longest that a request may wait for its answer.
	TimeoutMs Millis `json:"timeoutMs"`
	// ObjectiveMs is when the answer should be with the caller.
	ObjectiveMs Millis `json:"objectiveMs"`
	// Attempts bounds the searchers that one request may reach, for each shard.
	Attempts int `json:"attempts"`
	// Priority ranks routes; zero comes first.
	Priority int `json:"priority"`
}

// Scattered reports whether requests go to every shard.
func (r *Route) Scattered() bool { return len(r.Shards) > 0 }

// Pool is what the state says of all searchers of one service.
type Pool struct {
	// Connections bounds the connections that one searcher accepts from all hosts together.
	Connections int `json:"connections"`
	// HealthPath is where a searcher tells whether it is healthy.
	HealthPath string `json:"healthPath,omitempty"`
}

// Intake bounds what callers may send.
type Intake struct {
	HeaderBytes int    `json:"headerBytes,omitempty"`
	BodyBytes   int    `json:"bodyBytes,omitempty"`
	HeaderMs    Millis `json:"headerMs,omitempty"`
	// IdleMs is how long a caller's connection may stay without a request.
	IdleMs Millis `json:"idleMs,omitempty"`
}

// Routing is the whole routing state of one ticket.
type Routing struct {
	Ticket TicketNumber         `json:"ticket"`
	Routes []*Route             `json:"routes"`
	Pools  map[ServiceName]Pool `json:"pools"`
	Intake Intake               `json:"intake"`
}
