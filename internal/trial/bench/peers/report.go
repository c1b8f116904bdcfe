package peers

import "github.com/yuccahinge/yuccahinge"

// Report holds the measurements of a run. Bytes are those that a host sends and receives on connections to other hosts,
// without TCP and IP headers. CPU time is that of the whole process divided by the number of hosts.
type Report struct {
	Plan Plan `json:"plan"`
	// StateBytes is the size of the whole state in JSON.
	StateBytes int `json:"stateBytes"`
	// ReadyMs is the time from the start of the hosts until all are ready.
	ReadyMs yuccahinge.Millis `json:"readyMs"`
	// SettledMs is the time from the start of the hosts until each has all members in its membership.
	SettledMs yuccahinge.Millis `json:"settledMs"`
	// StartBytes is the number of bytes per host until then.
	StartBytes float64 `json:"startBytesPerHost"`
	// IdleBytesPerSecond is the number of bytes per host and second without tickets.
	IdleBytesPerSecond float64 `json:"idleBytesPerHostSecond"`
	// IdleCoreShare is the share of a CPU core that a host uses without tickets.
	IdleCoreShare float64 `json:"idleCoreShare"`
	// IdleReadsPerSecond is the number of calls to the platform per second without tickets, from all hosts together.
	IdleReadsPerSecond float64 `json:"idleReadsPerSecond"`
	// TicketBytes is the number of bytes per host for one ticket, in addition to the idle traffic.
	TicketBytes float64 `json:"ticketBytesPerHost"`
	// TicketCPUMs is the CPU time of one host for one ticket, in addition to the idle usage.
	TicketCPUMs yuccahinge.Millis `json:"ticketProcessorMs"`
	// MedianMs, P99Ms and MaxMs are the times from the publication of a ticket until it is in force on half of the hosts,
	// on 99% and on all of them. Each is the maximum over all tickets.
	MedianMs yuccahinge.Millis `json:"inForceHalfMs"`
	P99Ms    yuccahinge.Millis `json:"inForce99Ms"`
	MaxMs    yuccahinge.Millis `json:"inForceLastMs"`
	// HeapBytes is the live heap of the process after the run divided by the number of hosts.
	HeapBytes float64 `json:"heapBytesPerHost"`
}
