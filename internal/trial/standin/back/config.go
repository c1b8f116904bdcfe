package back

import "github.com/yuccahinge/yuccahinge"

// Config is what a stand-in searcher is like. Zero fields take the defaults of withDefaults.
type Config struct {
	ID     yuccahinge.SearcherID `json:"id"`
	Listen string                `json:"listen"`
	// Control is the address for faults and counters; empty for none.
	Control string `json:"control,omitempty"`
	Seed    uint64 `json:"seed,omitempty"`
	// Slots is how many requests run at once, Queue how many more may wait.
	Slots int `json:"slots,omitempty"`
	Queue int `json:"queue,omitempty"`
	// Connections is the cap above which a new connection is closed at once.
	Connections int `json:"connections,omitempty"`
	// ConnectMs is what a new connection costs.
	ConnectMs yuccahinge.Millis `json:"connectMs,omitempty"`
	// MedianMs and Spread give the log-normal service time; Spread is the deviation of its logarithm.
	MedianMs yuccahinge.Millis `json:"medianMs,omitempty"`
	Spread   float64           `json:"spread,omitempty"`
	// ColdMs is the time after a start during which runs take ColdFactor times as long.
	ColdMs     yuccahinge.Millis `json:"coldMs,omitempty"`
	ColdFactor float64           `json:"coldFactor,omitempty"`
	// WarmStart makes the first life warm, so that only restarts are cold.
	WarmStart bool `json:"warmStart,omitempty"`
	// Versions are the index versions held; empty for every version.
	Versions []yuccahinge.IndexVersion `json:"versions,omitempty"`
	// HitsPerShard is the number of hits in a reply.
	HitsPerShard int `json:"hitsPerShard,omitempty"`
	// RestartMs is the time from a crash to the next start; negative for none.
	RestartMs yuccahinge.Millis `json:"restartMs,omitempty"`
	// ExitOnCrash ends the process on a crash.
	ExitOnCrash bool `json:"exitOnCrash,omitempty"`
	// Faults are those in force from the start.
	Faults Faults `json:"faults,omitzero"`
}

const (
	defaultSlots       = 2
	defaultQueue       = 64
	defaultConnections = 25
	defaultMedian      = 5 * yuccahinge.Millis(1)
	defaultHits        = 3
	defaultColdFactor  = 5
	defaultRestart     = 2 * yuccahinge.Second
)

func (c Config) withDefaults() Config {
	c.Slots = orElse(c.Slots, defaultSlots)
	c.Queue = orElse(c.Queue, defaultQueue)
	c.Connections = orElse(c.Connections, defaultConnections)
	c.MedianMs = orElse(c.MedianMs, defaultMedian)
	c.HitsPerShard = orElse(c.HitsPerShard, defaultHits)
	c.ColdFactor = orElse(c.ColdFactor, defaultColdFactor)
	c.RestartMs = orElse(c.RestartMs, defaultRestart)
	return c
}

func orElse[T comparable](v, other T) T {
	var zero T
	if v == zero {
		return other
	}
	return v
}
