package yuccahinge

// Clock provides the current time.
type Clock interface {
	// Now returns the current time. It never goes backwards within a process.
	Now() Millis
}
