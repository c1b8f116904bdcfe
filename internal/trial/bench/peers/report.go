package peers

import "github.com/yuccahinge/yuccahinge"

// Report is what a run measured. Bytes are those of the connections between hosts, sent and received,
// without the headers of TCP and IP; processor time is that of the whole process, divided by the hosts.
type Report struct {
	Plan Plan `json:"plan"`
	// StateBytes is the size of the whole state in JSON.
	StateBytes int `json:"stateBytes"`
	// ReadyMs is the time from the start of all hosts to the last one ready.
	ReadyMs yuccahinge.Millis `json:"readyMs"`
	// SettledMs is the time to the last host that knows all others.
	SettledMs yuccahinge.Millis `json:"settledMs"`
	// StartBytes is what a host sent and received until then.
	StartBytes float64 `json:"startBytesPerHost"`
	// IdleBytes is what a host sends and receives in a second without tickets.
	IdleBytes float64 `json:"idleBytesPerHostSecond"`
	// IdleCore is the share of a core that a host takes without tickets.
	IdleCore float64 `json:"idleCoreShare"`
	// IdleReads is the platform's calls a second, of all hosts together.
	IdleReads float64 `json:"idleReadsPerSecond"`
	// TicketBytes is what a host sends and receives for one ticket beyond the idle traffic.
	TicketBytes float64 `json:"ticketBytesPerHost"`
	// TicketMs is the processor time of one host for one ticket beyond the idle time.
	TicketMs yuccahinge.Millis `json:"ticketProcessorMs"`
	// HalfMs, MostMs and LastMs are when a ticket was in force on half of the hosts, 99 in 100 and the last,
	// counted from its publication; each is the worst of all tickets.
	HalfMs yuccahinge.Millis `json:"inForceHalfMs"`
	MostMs yuccahinge.Millis `json:"inForce99Ms"`
	LastMs yuccahinge.Millis `json:"inForceLastMs"`
	// HeapBytes is the live heap of a host after the run, its share of what all share included.
	HeapBytes float64 `json:"heapBytesPerHost"`
}
