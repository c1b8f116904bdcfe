package link

import (
	"net/http"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/httpio"
)

// Faults are the faults that POST /control injects. A field that is absent from the request keeps its value.
type Faults struct {
	Cut Cut `json:"cut"`
	// DelayMs is the one-way delay in each direction.
	DelayMs yuccahinge.Millis `json:"delayMs"`
}

// Counters holds the counts of a link since its start. The connections to the callers and to the target both count.
type Counters struct {
	OpenConnections  int    `json:"connectionsNow"`
	TotalConnections int    `json:"connects"`
	BytesToTarget    int64  `json:"bytesThere"`
	BytesFromTarget  int64  `json:"bytesBack"`
	Faults           Faults `json:"faults"`
}

// controlRequest is the body of POST /control: faults that stay until changed, and one-time actions.
type controlRequest struct {
	*Faults
	// FreezeMs blocks both directions for this time; at its end, directions that Cut blocks pass again too.
	FreezeMs yuccahinge.Millis `json:"freezeMs"`
	// Reset closes all connections.
	Reset bool `json:"reset"`
}

func (l *Link) postControl(w http.ResponseWriter, r *http.Request) {
	f := l.Counters().Faults
	c := controlRequest{Faults: &f}
	if !httpio.ReadJSON(w, r, &c) {
		return
	}
	l.SetFaults(f)
	if c.FreezeMs > 0 {
		l.toTarget.CloseFor(c.FreezeMs.Duration())
		l.fromTarget.CloseFor(c.FreezeMs.Duration())
	}
	if c.Reset {
		l.CloseConns()
	}
	httpio.WriteJSON(w, http.StatusOK, f)
}

// SetFaults replaces the injected faults.
func (l *Link) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	setGate(&l.toTarget, f.Cut == CutToTarget || f.Cut == CutBoth)
	setGate(&l.fromTarget, f.Cut == CutFromTarget || f.Cut == CutBoth)
}

// Counters returns a copy of the counters, with the injected faults.
func (l *Link) Counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counters
	c.Faults = l.faults
	return c
}

// CloseConns closes all connections.
func (l *Link) CloseConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close()
	}
}
