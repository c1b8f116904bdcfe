// Package clock provides a monotonic system clock in milliseconds since the Unix epoch.
package clock

import (
	"time"

	"github.com/yuccahinge/yuccahinge"
)

// processStart is the only reading of the wall clock; later readings add the monotonic time since then.
var processStart = time.Now()

// Clock returns the wall time at the start of the process plus the monotonic time since then, so that a step of
// the wall clock has no effect. The zero value is ready to use.
type Clock struct{}

// Now returns the current time.
func (Clock) Now() yuccahinge.Millis {
	wall := yuccahinge.Millis(processStart.UnixMicro()) / 1000
	return wall + yuccahinge.MillisOf(time.Since(processStart))
}
