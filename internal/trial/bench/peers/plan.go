package peers

import "github.com/yuccahinge/yuccahinge"

// Plan is the size of a run.
type Plan struct {
	Hosts   int `json:"hosts"`
	Domains int `json:"domains"`
	// Searchers and Shards make up the whole state.
	Searchers int `json:"searchers"`
	Shards    int `json:"shards"`
	// Tickets is the number of tickets measured, each of about TicketBytes bytes.
	Tickets     int `json:"tickets"`
	TicketBytes int `json:"ticketBytes"`
	// SettleMs is the wait before the hosts are watched, while changes of the start still ride along.
	SettleMs yuccahinge.Millis `json:"settleMs"`
	// IdleMs is how long the hosts are watched without tickets.
	IdleMs yuccahinge.Millis `json:"idleMs"`
	// EveryMs is the time between two tickets.
	EveryMs yuccahinge.Millis `json:"everyMs"`
	Seed    uint64            `json:"seed"`
}
