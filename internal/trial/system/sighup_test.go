package system

import (
	"syscall"
	"testing"
)

// TestSIGHUPUnderLoadInterruptsNothing makes all hosts reload their settings several times under load.
func TestSIGHUPUnderLoadInterruptsNothing(t *testing.T) {
	s := newSystem(t, 4)
	l := startLoad(s)
	for range 5 {
		for _, h := range s.hosts {
			h.signal(t, syscall.SIGHUP)
		}
		l.waitForProgress(50, 10)
	}
	l.stopAndCheck(t, false)
}
