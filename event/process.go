package event

import "github.com/yuccahinge/yuccahinge"

// Events of the process, numbered from 100.
const (
	ProcessStarted  yuccahinge.EventCode = 100
	ProcessReady    yuccahinge.EventCode = 101
	ProcessUnready  yuccahinge.EventCode = 102
	ProcessDraining yuccahinge.EventCode = 103
	ProcessStopped  yuccahinge.EventCode = 104
	// ProcessPaused means that the process did not run for a while, so that its state may be stale.
	ProcessPaused yuccahinge.EventCode = 105
	// DrainCut means that the drain cut off requests in flight because its deadline was near.
	DrainCut        yuccahinge.EventCode = 106
	InvariantBroken yuccahinge.EventCode = 107
	PeerRefused     yuccahinge.EventCode = 108
	// SettingsReloaded and SettingsRefused are the results of reloading the settings while the process runs.
	SettingsReloaded yuccahinge.EventCode = 109
	SettingsRefused  yuccahinge.EventCode = 110
	// DrainRefused counts the requests that the draining host refused because they might have ended after the drain.
	DrainRefused yuccahinge.EventCode = 111
	// ClientsEnded counts the connections of clients that were ended because of what they took.
	ClientsEnded yuccahinge.EventCode = 112
)

var processNames = map[yuccahinge.EventCode]string{
	ProcessStarted:   "processStarted",
	ProcessReady:     "processReady",
	ProcessUnready:   "processUnready",
	ProcessDraining:  "processDraining",
	ProcessStopped:   "processStopped",
	ProcessPaused:    "processPaused",
	DrainCut:         "drainCut",
	InvariantBroken:  "invariantBroken",
	PeerRefused:      "peerRefused",
	SettingsReloaded: "settingsReloaded",
	SettingsRefused:  "settingsRefused",
	DrainRefused:     "drainRefused",
	ClientsEnded:     "clientsEnded",
}
