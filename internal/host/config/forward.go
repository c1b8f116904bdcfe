package config

import "github.com/yuccahinge/yuccahinge"

// Forward configures hosts that forward requests to searchers unchanged.
type Forward struct {
	ReadyAddr      string            `json:"readyAddr"`
	StoreAddr      string            `json:"store"`
	ExtraRatio     float64           `json:"extraRatio"`
	ExtraSlack     float64           `json:"extraSlack"`
	ExtraWindowMs  yuccahinge.Millis `json:"extraWindowMs"`
	ListPollMs     yuccahinge.Millis `json:"listPauseMs"`
	CallerOneWayMs yuccahinge.Millis `json:"callerWayMs"`
	Cores          float64           `json:"cores"`
	LinkMbps       float64           `json:"linkMbps"`
	LogLines       int               `json:"logLines"`
	// SearcherDrainMs is how long a searcher serves after it has said that it leaves.
	SearcherDrainMs yuccahinge.Millis `json:"searcherDrainMs"`
	// HeartbeatMs is the interval at which a searcher writes its entry; zero if unknown.
	HeartbeatMs yuccahinge.Millis `json:"heartbeatMs"`
	// TicketMs is the time within which a ticket that the platform has confirmed must be in force on every host that reaches the platform;
	// zero for no bound.
	TicketMs yuccahinge.Millis `json:"ticketMs"`
	// EvacuateMs is the time within which the evacuation of a failure domain is in force; zero if the platform asks for none.
	EvacuateMs yuccahinge.Millis `json:"evacuateMs"`
	// In any second a cold searcher gets at most WarmupOvershoot times the warm-up rate of its service and WarmupSlack requests from all
	// hosts. If both are zero, hosts pay no regard to warm-ups.
	WarmupOvershoot float64 `json:"warmupOvershoot"`
	WarmupSlack     float64 `json:"warmupSlack"`
	// SearcherCapacity lets the choice of searchers follow estimates of what each handles well.
	SearcherCapacity bool `json:"searcherCapacity"`
}
