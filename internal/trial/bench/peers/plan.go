package peers

import "github.com/yuccahinge/yuccahinge"

// Plan gives the sizes and times of a run.
type Plan struct {
	Hosts   int `json:"hosts"`
	Domains int `json:"domains"`
	// Searchers and Shards are the size of the service in the first ticket, which is most of the state.
	Searchers int `json:"searchers"`
	Shards    int `json:"shards"`
	// Tickets is the number of tickets measured, each of about TicketBytes bytes in JSON.
	Tickets     int `json:"tickets"`
	TicketBytes int `json:"ticketBytes"`
	// SettleMs is the wait before the idle measurement, while hosts still send the membership changes of the start.
	SettleMs yuccahinge.Millis `json:"settleMs"`
	// IdleMs is the length of the idle measurement, without tickets.
	IdleMs yuccahinge.Millis `json:"idleMs"`
	// TicketIntervalMs is the time from one ticket to the next.
	TicketIntervalMs yuccahinge.Millis `json:"everyMs"`
	Seed             uint64            `json:"seed"`
}
