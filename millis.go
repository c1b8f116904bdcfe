package yuccahinge

import "time"

// Millis is an instant or a duration in milliseconds, with microseconds as the fraction.
// An instant counts from the Unix epoch. The process reads the wall clock once at its start, so that
// its instants never go backwards.
type Millis float64

// Second is one second in Millis.
const Second Millis = 1000

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// MillisOf returns d in milliseconds.
func MillisOf(d time.Duration) Millis {
	return Millis(float64(d) / float64(time.Millisecond))
}
