package proof

import (
	"syscall"
	"testing"
)

// TestHangupUnderLoadEndsNothing tells hosts again and again to read their settings while callers search.
func TestHangupUnderLoadEndsNothing(t *testing.T) {
	s := newSite(t, 4)
	l := startLoad(s)
	for range 5 {
		for _, h := range s.hosts {
			h.signal(t, syscall.SIGHUP)
		}
		l.progress(50, 10)
	}
	l.end(t, false)
}
