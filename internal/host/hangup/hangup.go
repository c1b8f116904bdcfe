// Package hangup makes a process that imports it ignore SIGHUP from its start on, until the signal is handled. An operator
// may send it to a process that has just been started, which reads its settings later anyway.
package hangup

import (
	"os/signal"
	"syscall"
)

// The signal is ignored during initialization, because that takes most of the time before the process could handle it.
func init() { signal.Ignore(syscall.SIGHUP) }
