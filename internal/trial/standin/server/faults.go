package server

import "github.com/yuccahinge/yuccahinge"

// ReportMode selects the fault injected into the load reports of a searcher.
type ReportMode string

// The modes of load reports.
const (
	// ReportAccurate injects no fault, like the zero value.
	ReportAccurate ReportMode = "true"
	// ReportDelayed reports the load that was measured reportDelay ago.
	ReportDelayed ReportMode = "lag"
	// ReportIdle always reports an idle searcher.
	ReportIdle ReportMode = "lie"
	// ReportOff sends empty reports in replies and answers /v1/load with 503.
	ReportOff ReportMode = "off"
)

// Faults are the faults that POST /control injects. A field that is absent from the request keeps its value.
type Faults struct {
	// StragglerShare is the probability that a run takes StragglerFactor times as long.
	StragglerShare  float64 `json:"stragglerShare,omitempty"`
	StragglerFactor float64 `json:"stragglerFactor,omitempty"`
	// SlowFactor multiplies every service time; zero has no effect.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	// Drain refuses every request with reason draining.
	Drain bool `json:"drain,omitempty"`
	// CrashOn crashes the searcher on a query or charge that contains this text; if empty, none does.
	CrashOn    string     `json:"crashOn,omitempty"`
	LoadReport ReportMode `json:"loadReport,omitempty"`
	// Cut blocks all bytes in both directions, without closing connections.
	Cut bool `json:"cut,omitempty"`
	// WrongEcho changes the attempt number of a query reply, or the claim of a charge reply.
	WrongEcho bool `json:"wrongEcho,omitempty"`
	// Truncate sends half of the reply, then aborts the connection.
	Truncate bool `json:"truncate,omitempty"`
	// HugeReply sends hugeReplyBytes of blanks instead of the reply.
	HugeReply bool `json:"hugeReply,omitempty"`
	// Versions are the index versions held; if empty, every version is held.
	Versions []yuccahinge.IndexVersion `json:"versions,omitempty"`
	// Shed refuses every request with outcome notRun and reason shed.
	Shed bool `json:"shed,omitempty"`
	// MaxRate is the maximum request rate that load reports name; nil names none.
	MaxRate *yuccahinge.RequestRate `json:"maxRate,omitempty"`
}

// ControlRequest is the body of POST /control: faults that stay until changed, and one-time actions.
type ControlRequest struct {
	*Faults
	// FreezeMs blocks all bytes and the end of every run for this time, as a paused process does.
	FreezeMs yuccahinge.Millis `json:"freezeMs,omitempty"`
	// Kill crashes the searcher; it restarts on Start only.
	Kill bool `json:"kill,omitempty"`
	// Start restarts a crashed or killed searcher at once; while the searcher runs, it applies to the next crash.
	Start bool `json:"start,omitempty"`
	// Reset zeroes the counters.
	Reset bool `json:"reset,omitempty"`
}
