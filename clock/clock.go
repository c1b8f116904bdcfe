// Package clock provides the system clock in milliseconds.
package clock

import (
	"time"

	"github.com/yuccahinge/yuccahinge"
)

// origin fixes the wall time once, so that later readings follow the monotonic clock only.
var origin = time.Now()

// Clock reads the monotonic clock of the process, counted from the wall time at its start.
// The zero value is ready to use.
type Clock struct{}

// Now returns the present instant.
func (Clock) Now() yuccahinge.Millis {
	wall := yuccahinge.Millis(origin.UnixMicro()) / 1000
	return wall + yuccahinge.MillisOf(time.Since(origin))
}
