package yuccahinge

// Clock tells the time.
type Clock interface {
	// Now returns the present instant. It never steps back within a process.
	Now() Millis
}
