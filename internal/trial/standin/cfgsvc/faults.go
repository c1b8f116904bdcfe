package cfgsvc

import "github.com/yuccahinge/yuccahinge"

// Faults are the faults that POST /control injects. A field that is absent from the request keeps its value.
type Faults struct {
	// Down answers every read with status 503.
	Down bool `json:"down"`
	// Stale serves the state as of an older ticket; null serves the latest.
	Stale *Stale `json:"stale"`
	// Cut blocks all bytes in both directions, without closing connections.
	Cut bool `json:"cut"`
	// MemberLagMs is the minimum delay until hosts get a change of the membership list.
	MemberLagMs yuccahinge.Millis `json:"memberLagMs"`
	// AnswerMs delays each answer within the budget.
	AnswerMs yuccahinge.Millis `json:"answerMs"`
}

// Stale is the fault of a stale replica. Head is the highest ticket number that it serves.
type Stale struct {
	Head yuccahinge.TicketNumber `json:"head"`
}

// Counters holds the counts of the platform since its start.
type Counters struct {
	// ReadsByKind counts reads by kind, including those above the budget.
	ReadsByKind map[string]int `json:"calls"`
	// RefusedReads counts reads above the budget of readBudgetPerSecond.
	RefusedReads int `json:"refused"`
	// MaxReadsPerSecond is the highest number of reads in one second.
	MaxReadsPerSecond int `json:"callsPerSecondMost"`
	// PendingWatches is the number of pending reads of the head.
	PendingWatches int                     `json:"watching"`
	Head           yuccahinge.TicketNumber `json:"head"`
	Members        int                     `json:"members"`
	Faults         Faults                  `json:"faults"`
}
