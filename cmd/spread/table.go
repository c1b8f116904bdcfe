package main

import (
	"fmt"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/peers"
)

func printHead() {
	fmt.Printf("%6s %8s %8s %10s %10s %8s %9s %10s %10s %8s %8s %8s %8s\n",
		"hosts", "readyMs", "knownMs", "startKB", "idleB/s", "idle%", "reads/s", "B/ticket", "ms/ticket", "halfMs", "p99Ms", "lastMs", "heapKB")
}

func printRow(r *peers.Report) {
	fmt.Printf("%6d %8.0f %8.0f %10.1f %10.0f %8.3f %9.1f %10.0f %10.2f %8.0f %8.0f %8.0f %8.0f\n",
		r.Plan.Hosts, r.ReadyMs, r.SettledMs, r.StartBytes/1024, r.IdleBytesPerSecond, 100*r.IdleCoreShare, r.IdleReadsPerSecond,
		r.TicketBytes, r.TicketCPUMs, r.MedianMs, r.P99Ms, r.MaxMs, r.HeapBytes/1024)
}

func millis(seconds float64) yuccahinge.Millis { return yuccahinge.Millis(seconds) * yuccahinge.Second }
