package yuccahinge

// KeySpace is the number of hash slots that the shards of an index divide among themselves.
const KeySpace = 65536

// Index is one version of a service's index: its shard map and the searchers that hold it.
type Index struct {
	Version   IndexVersion             `json:"version"`
	Shards    []Shard                  `json:"shards"`
	Searchers map[SearcherID]*Searcher `json:"searchers"`
	// Key stands for the services of the shards where each has one of its own, so that hosts can name an index to
	// each other.
	Key uint64 `json:"-"`
}

// Shard is a range of the key space and the searchers that hold a replica of it.
type Shard struct {
	ID ShardID `json:"id"`
	// From and To bound the hash slots of the shard; To is exclusive.
	From      uint32       `json:"from"`
	To        uint32       `json:"to"`
	Searchers []SearcherID `json:"searchers"`
	// Group is the service whose searchers are the replicas where each shard has a service of its own.
	Group ServiceName `json:"-"`
}

// Protocol names the HTTP version that a searcher speaks.
type Protocol string

// The protocols.
const (
	// HTTP1 carries one call at a time on a connection.
	HTTP1 Protocol = "http1"
	// H2C carries many calls on a connection in clear text.
	H2C Protocol = "h2c"
)

// Searcher is a backend server and its limits.
type Searcher struct {
	Addr        string   `json:"addr"`
	Domain      DomainID `json:"domain"`
	Slots       int      `json:"slots"`
	Connections int      `json:"connections"`
	// ConnectMs is what a new connection costs.
	ConnectMs Millis   `json:"connectMs,omitempty"`
	Protocol  Protocol `json:"protocol,omitempty"`
	// Instance is the name that a request must give, so that no other searcher at the address runs it.
	Instance string `json:"-"`
	// HealthPath is where the searcher tells whether it is healthy.
	HealthPath string `json:"-"`
}
