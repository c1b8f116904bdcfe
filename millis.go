package yuccahinge

import "time"

// Millis is an instant or a span of time in milliseconds. Fractions carry microseconds.
// An instant counts from the Unix epoch as the process saw it at its start and never steps back.
type Millis float64

// Second is one second.
const Second Millis = 1000

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// MillisOf returns d in milliseconds.
func MillisOf(d time.Duration) Millis {
	return Millis(float64(d) / float64(time.Millisecond))
}
