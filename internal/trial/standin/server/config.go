package server

import "github.com/yuccahinge/yuccahinge"

// Config holds the settings of a stand-in searcher. Zero fields get the defaults that withDefaults sets.
type Config struct {
	ID     yuccahinge.SearcherID `json:"id"`
	Listen string                `json:"listen"`
	// Control is the listen address for faults and counters; if empty, there is no control listener.
	Control string `json:"control,omitempty"`
	Seed    uint64 `json:"seed,omitempty"`
	// Slots is the maximum number of requests that run at once.
	Slots int `json:"slots,omitempty"`
	// MaxQueued is the maximum number of requests that wait for a slot.
	MaxQueued int `json:"queue,omitempty"`
	// MaxConnections is the limit on open connections; a connection above it is reset on accept.
	MaxConnections int `json:"connections,omitempty"`
	// ConnectMs is the delay before a new connection is served.
	ConnectMs yuccahinge.Millis `json:"connectMs,omitempty"`
	// MedianMs is the median of the service time, which has a log-normal distribution.
	MedianMs yuccahinge.Millis `json:"medianMs,omitempty"`
	// LogStdDev is the standard deviation of the logarithm of the service time.
	LogStdDev float64 `json:"spread,omitempty"`
	// WarmupMs is the time after a start during which the service time is multiplied by ColdFactor.
	WarmupMs   yuccahinge.Millis `json:"coldMs,omitempty"`
	ColdFactor float64           `json:"coldFactor,omitempty"`
	// WarmStart omits the warmup (WarmupMs) after the first start; every restart has it.
	WarmStart bool `json:"warmStart,omitempty"`
	// Versions are the index versions held; if empty, every version is held.
	Versions []yuccahinge.IndexVersion `json:"versions,omitempty"`
	// HitsPerShard is the number of hits in a reply.
	HitsPerShard int `json:"hitsPerShard,omitempty"`
	// RestartMs is the time from a crash to the next start; negative disables the restart.
	RestartMs yuccahinge.Millis `json:"restartMs,omitempty"`
	// ExitOnCrash makes a crash end the process, with exit code crashCode.
	ExitOnCrash bool `json:"exitOnCrash,omitempty"`
	// Faults are the faults injected from the start.
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
	c.Slots = valueOr(c.Slots, defaultSlots)
	c.MaxQueued = valueOr(c.MaxQueued, defaultQueue)
	c.MaxConnections = valueOr(c.MaxConnections, defaultConnections)
	c.MedianMs = valueOr(c.MedianMs, defaultMedian)
	c.HitsPerShard = valueOr(c.HitsPerShard, defaultHits)
	c.ColdFactor = valueOr(c.ColdFactor, defaultColdFactor)
	c.RestartMs = valueOr(c.RestartMs, defaultRestart)
	return c
}

// valueOr returns v, or fallback if v is the zero value.
func valueOr[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
