package yuccahinge

// HashSlots is the number of hash slots that are partitioned among the shards of an index.
const HashSlots = 65536

// Index is one version of a service's index: its shard map and the searchers with the replicas.
type Index struct {
	Version   IndexVersion             `json:"version"`
	Shards    []Shard                  `json:"shards"`
	Searchers map[SearcherID]*Searcher `json:"searchers"`
	// ServicesHash is a hash of the service names of the shards, if each shard has its own service. Hosts refer to the
	// index by it in calls to each other.
	ServicesHash uint64 `json:"-"`
}

// Shard is a range of hash slots and the searchers that hold a replica of it.
type Shard struct {
	ID ShardID `json:"id"`
	// From is the first hash slot of the shard; To is the one after its last.
	From      uint32       `json:"from"`
	To        uint32       `json:"to"`
	Searchers []SearcherID `json:"searchers"`
	// Service is the service whose searchers are the replicas, if each shard has its own service.
	Service ServiceName `json:"-"`
}

// Protocol is the HTTP version that a searcher supports.
type Protocol string

// Supported protocols.
const (
	// HTTP1 is HTTP/1.1, with one request at a time on a connection.
	HTTP1 Protocol = "http1"
	// H2C is HTTP/2 without TLS, with concurrent requests on a connection.
	H2C Protocol = "h2c"
)

// Searcher is a backend server and its limits.
type Searcher struct {
	Addr        string   `json:"addr"`
	Domain      DomainID `json:"domain"`
	Slots       int      `json:"slots"`
	Connections int      `json:"connections"`
	// ConnectMs is the time that it takes to open a connection.
	ConnectMs Millis   `json:"connectMs,omitempty"`
	Protocol  Protocol `json:"protocol,omitempty"`
	// Instance is the instance name that each request carries, so that another searcher at the same address
	// does not run it.
	Instance string `json:"-"`
	// HealthPath is the path of the searcher's health check.
	HealthPath string `json:"-"`
}
