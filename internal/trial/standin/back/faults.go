package back

import "github.com/yuccahinge/yuccahinge"

// ReportMode says how truthful a searcher's load reports are.
type ReportMode string

// The modes of load reports.
const (
	ReportTrue ReportMode = "true"
	// ReportLag reports the load of reportLag ago.
	ReportLag ReportMode = "lag"
	// ReportLie reports an idle searcher at all times.
	ReportLie ReportMode = "lie"
	// ReportOff reports nothing.
	ReportOff ReportMode = "off"
)

// Faults are what POST /control changes. Fields that a request does not name stay as they are.
type Faults struct {
	StragglerShare  float64 `json:"stragglerShare,omitempty"`
	StragglerFactor float64 `json:"stragglerFactor,omitempty"`
	// SlowFactor multiplies every service time when above zero.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	Drain      bool    `json:"drain,omitempty"`
	// CrashOn is the text that marks a query which crashes the searcher; empty for none.
	CrashOn    string     `json:"crashOn,omitempty"`
	LoadReport ReportMode `json:"loadReport,omitempty"`
	// Cut holds back every byte in both directions.
	Cut       bool                      `json:"cut,omitempty"`
	WrongEcho bool                      `json:"wrongEcho,omitempty"`
	Truncate  bool                      `json:"truncate,omitempty"`
	HugeReply bool                      `json:"hugeReply,omitempty"`
	Versions  []yuccahinge.IndexVersion `json:"versions,omitempty"`
	// Shed refuses every request with proof that it did not run.
	Shed bool `json:"shed,omitempty"`
}

// Control is the body of POST /control: faults that last, and actions.
type Control struct {
	*Faults
	// FreezeMs holds back every byte and every run for a time.
	FreezeMs yuccahinge.Millis `json:"freezeMs,omitempty"`
	// Kill crashes the searcher; it stays away until Start.
	Kill bool `json:"kill,omitempty"`
	// Start brings a killed searcher back.
	Start bool `json:"start,omitempty"`
	// Reset sets the counters to zero.
	Reset bool `json:"reset,omitempty"`
}
