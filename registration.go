package yuccahinge

// Revision is the sequence number of a change to the data that the platform publishes. Zero precedes the first change.
type Revision uint64

// Epoch counts how often the platform has come back from an older copy of its data. Changes since the copy are lost then, and their
// revisions are given to others.
type Epoch uint64

// Position is a point in the sequence of changes that the platform publishes. Revisions are comparable within one epoch only.
type Position struct {
	Epoch    Epoch    `json:"epoch,omitempty"`
	Revision Revision `json:"revision"`
}

// Before reports whether p precedes other.
func (p Position) Before(other Position) bool {
	return p.Epoch < other.Epoch || p.Epoch == other.Epoch && p.Revision < other.Revision
}

// Registration is the entry that the platform publishes for one searcher.
type Registration struct {
	ID      SearcherID  `json:"id"`
	Service ServiceName `json:"service"`
	// Instance is the searcher's own instance name, which it may keep after a restart.
	Instance string `json:"instance"`
	// Generation distinguishes successive processes with the same instance name.
	Generation int64 `json:"born"`
	// Sequence counts what the process has written about itself; zero if unknown. Unlike a revision it is the searcher's own, so
	// that it tells which of two entries is newer whichever copy of the platform's data they are from.
	Sequence int64    `json:"sequence,omitempty"`
	Addr     string   `json:"addr"`
	Domain   DomainID `json:"domain"`
	Slots    int      `json:"slots"`
	Draining bool     `json:"draining,omitempty"`
	// WarmupLeftMs is the remaining warm-up time, during which the searcher is slow after its start.
	WarmupLeftMs Millis `json:"coldMs,omitempty"`
}

// Change sets the value of one key that the platform publishes. A change without a value deletes the key.
type Change struct {
	Key          string        `json:"key"`
	Revision     Revision      `json:"revision"`
	Routing      *Routing      `json:"routing,omitempty"`
	Registration *Registration `json:"listing,omitempty"`
	// Problem says why the value that the platform publishes can't be used, in a change without a value. The key is empty if
	// it can't be read.
	Problem string `json:"-"`
}

// ChangeBatch holds the changes up to Revision. All revisions are of one epoch.
type ChangeBatch struct {
	Epoch Epoch `json:"epoch,omitempty"`
	// Snapshot means that Changes is a snapshot of all keys: a key that is not in it has been deleted.
	Snapshot bool     `json:"whole,omitempty"`
	Changes  []Change `json:"changes"`
	Revision Revision `json:"revision"`
	// AgeMs is how long ago a host that sends its list to another one has read the platform.
	AgeMs Millis `json:"ageMs,omitempty"`
}

// Position returns the position up to which the batch holds the changes.
func (b *ChangeBatch) Position() Position { return Position{b.Epoch, b.Revision} }
