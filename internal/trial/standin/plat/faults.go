package plat

import "github.com/yuccahinge/yuccahinge"

// Faults are what POST /control changes. Fields that a request does not name stay as they are.
type Faults struct {
	// Down answers every read with 503.
	Down bool `json:"down"`
	// Stale serves the state as of an older ticket; null ends it.
	Stale *Stale `json:"stale"`
	// Cut holds back every byte in both directions.
	Cut bool `json:"cut"`
	// MemberLagMs delays each change of the membership list.
	MemberLagMs yuccahinge.Millis `json:"memberLagMs"`
	// AnswerMs delays each answer.
	AnswerMs yuccahinge.Millis `json:"answerMs"`
}

// Stale says as of which ticket a stale replica serves.
type Stale struct {
	Head yuccahinge.TicketNumber `json:"head"`
}

// Counters are what the platform counted since its start.
type Counters struct {
	// Calls counts reads by kind, Refused those above the budget.
	Calls   map[string]int `json:"calls"`
	Refused int            `json:"refused"`
	// CallsPerSecondMost is the highest count of one second.
	CallsPerSecondMost int                     `json:"callsPerSecondMost"`
	Watching           int                     `json:"watching"`
	Head               yuccahinge.TicketNumber `json:"head"`
	Members            int                     `json:"members"`
	Faults             Faults                  `json:"faults"`
}
