package config

import (
	"testing"

	"github.com/yuccahinge/yuccahinge/internal/host/avail"
)

// TestBoundsFollowFromTheMachine guards against bounds that don't fit the smallest machines, and against bounds without settings for them.
func TestBoundsFollowFromTheMachine(t *testing.T) {
	for _, c := range []struct {
		limits      Limits
		clients     int64
		connections int
		heap        int64
		replies     int64
	}{
		{Limits{}, 0, 0, 0, 0},
		{Limits{MemoryMb: 136, Descriptors: 2870}, 8_500_000, 518, 45_333_333, 17_000_000},
		{Limits{MemoryMb: 536, Descriptors: 8192}, 33_500_000, 2044, 178_666_666, 24 << 20},
		{Limits{Descriptors: 1000}, 0, 250, 0, 0},
		{Limits{MemoryMb: 160, Descriptors: 1000, ClientBytes: 1 << 20, ClientConnections: 7}, 1 << 20, 7, 53_333_333, 20_000_000},
	} {
		l := &c.limits
		if l.MaxClientBytes() != c.clients || l.MaxClientConnections() != c.connections || l.HeapBytes() != c.heap || l.AllReplyBytes() != c.replies {
			t.Errorf("%+v: %d bytes, %d connections, heap %d, replies %d", *l, l.MaxClientBytes(), l.MaxClientConnections(), l.HeapBytes(), l.AllReplyBytes())
		}
		if want := c.limits.ClientBytes > 0 || c.limits.MemoryMb > 0 || c.limits.Descriptors > 0; l.BoundsClients() != want {
			t.Errorf("%+v: bounds clients is %v", *l, l.BoundsClients())
		}
	}
}

// TestProcessLimitsFillWhatSettingsLeaveOut guards against hosts without any bound because their settings don't name the machine, and
// against settings that the limits of the process override.
func TestProcessLimitsFillWhatSettingsLeaveOut(t *testing.T) {
	process := avail.Limits{MemoryBytes: 200_000_000, Descriptors: 1024}
	for _, c := range []struct{ settings, want Limits }{
		{Limits{}, Limits{MemoryMb: 200, Descriptors: 1024}},
		{Limits{MemoryMb: 136}, Limits{MemoryMb: 136, Descriptors: 1024}},
		{Limits{MemoryMb: 136, Descriptors: 2870}, Limits{MemoryMb: 136, Descriptors: 2870}},
		{Limits{ClientConnections: 7, ClientBytes: 1 << 20}, Limits{MemoryMb: 200, Descriptors: 1024, ClientConnections: 7, ClientBytes: 1 << 20}},
	} {
		got := c.settings
		got.FillFrom(process)
		if got != c.want {
			t.Errorf("%+v became %+v, want %+v", c.settings, got, c.want)
		}
	}
}
