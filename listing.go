package yuccahinge

// Revision numbers the changes of what the platform publishes. Zero comes before the first.
type Revision uint64

// Listing is what the platform publishes of one searcher.
type Listing struct {
	ID      SearcherID  `json:"id"`
	Service ServiceName `json:"service"`
	// Instance is the name by which the searcher knows itself. A searcher that starts again may keep it.
	Instance string `json:"instance"`
	// Born tells two lives under one instance name apart.
	Born     int64    `json:"born"`
	Addr     string   `json:"addr"`
	Domain   DomainID `json:"domain"`
	Slots    int      `json:"slots"`
	Draining bool     `json:"draining,omitempty"`
	// ColdMs is how much longer the searcher is slow after its start.
	ColdMs Millis `json:"coldMs,omitempty"`
}

// Change is a new value of one key of what the platform publishes. A change without Routing and Listing
// removes the key.
type Change struct {
	Key      string   `json:"key"`
	Revision Revision `json:"revision"`
	Routing  *Routing `json:"routing,omitempty"`
	Listing  *Listing `json:"listing,omitempty"`
}

// Batch is the changes up to a revision.
type Batch struct {
	// Whole says that Changes are all keys, so that keys it lacks are gone.
	Whole    bool     `json:"whole,omitempty"`
	Changes  []Change `json:"changes"`
	Revision Revision `json:"revision"`
}
