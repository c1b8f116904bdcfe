package link

import (
	"net/http"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/wire"
)

// Faults are what POST /control changes. Fields that a request does not name stay as they are.
type Faults struct {
	Cut Cut `json:"cut"`
	// DelayMs is the delay of one way.
	DelayMs yuccahinge.Millis `json:"delayMs"`
}

// Counters are what a link counted since its start.
type Counters struct {
	ConnectionsNow int    `json:"connectionsNow"`
	Connects       int    `json:"connects"`
	BytesThere     int64  `json:"bytesThere"`
	BytesBack      int64  `json:"bytesBack"`
	Faults         Faults `json:"faults"`
}

// control is the body of POST /control: faults that last, and actions.
type control struct {
	*Faults
	FreezeMs yuccahinge.Millis `json:"freezeMs"`
	// Reset closes all connections.
	Reset bool `json:"reset"`
}

func (l *Link) postControl(w http.ResponseWriter, r *http.Request) {
	f := l.Counters().Faults
	c := control{Faults: &f}
	if !wire.Decode(w, r, &c) {
		return
	}
	l.Fault(f)
	if c.FreezeMs > 0 {
		l.there.ShutFor(c.FreezeMs.Duration())
		l.back.ShutFor(c.FreezeMs.Duration())
	}
	if c.Reset {
		l.Reset()
	}
	wire.Reply(w, http.StatusOK, f)
}

// Fault replaces the faults in force.
func (l *Link) Fault(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	shut(&l.there, f.Cut == CutThere || f.Cut == CutBoth)
	shut(&l.back, f.Cut == CutBack || f.Cut == CutBoth)
}

// Counters returns what was counted so far.
func (l *Link) Counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.count
	c.Faults = l.faults
	return c
}

// Reset closes all connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close()
	}
}
