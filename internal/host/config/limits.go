package config

import (
	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/host/avail"
)

// Limits bounds the resources that a host uses and the requests that it accepts.
type Limits struct {
	RequestBytes           int64             `json:"requestBytes"`
	ReplyBytes             int64             `json:"replyBytes"`
	ReadTimeoutMs          yuccahinge.Millis `json:"readTimeoutMs"`
	MaxDeadlineMs          yuccahinge.Millis `json:"maxDeadlineMs"`
	MaxInFlight            int               `json:"maxInFlight"`
	PeerConnections        int               `json:"peerConnections"`
	PlatformCallsPerSecond float64           `json:"platformCallsPerSecond"`
	Events                 int               `json:"events"`
	PauseThresholdMs       yuccahinge.Millis `json:"pauseMs"`
	// MemoryMb is the memory of the machine in units of 1,000,000 bytes, and Descriptors the limit of its open files; zero if the
	// settings don't name them.
	MemoryMb    float64 `json:"memoryMb"`
	Descriptors int     `json:"descriptors"`
	// ClientBytes and ClientConnections are derived from MemoryMb and Descriptors if they are zero.
	ClientBytes          int64             `json:"clientBytes"`
	ClientConnections    int               `json:"clientConnections"`
	HeaderLines          int               `json:"headerLines"`
	StallMs              yuccahinge.Millis `json:"stallMs"`
	ClientBytesPerSecond float64           `json:"clientBytesPerSecond"`
}

// Parts of the machine that the bounds on clients are derived from.
const (
	bytesPerMb = 1e6
	// connectionBytes is what a connection takes: stack, buffers, and a request of ordinary size.
	connectionBytes = 32 << 10
	// maxAllReplyBytes is the largest bound on the responses of searchers.
	maxAllReplyBytes = 24 << 20

	clientBytesPart       = 16
	connectionMemoryPart  = 8
	connectionDescriptors = 4
	replyPart             = 8
	heapPart              = 3
)

// FillFrom takes the memory and the descriptors that the settings don't name from the limits of the process.
func (l *Limits) FillFrom(process avail.Limits) {
	if l.MemoryMb <= 0 {
		l.MemoryMb = float64(process.MemoryBytes) / bytesPerMb
	}
	if l.Descriptors <= 0 {
		l.Descriptors = process.Descriptors
	}
}

// BoundsClients reports whether any bound on clients is set.
func (l *Limits) BoundsClients() bool {
	return l.MemoryMb > 0 || l.Descriptors > 0 || l.ClientBytes > 0 || l.ClientConnections > 0
}

// MaxClientBytes returns the most bytes that are held for all clients; zero if there is no bound.
func (l *Limits) MaxClientBytes() int64 {
	if l.ClientBytes > 0 {
		return l.ClientBytes
	}
	return int64(l.MemoryMb * bytesPerMb / clientBytesPart)
}

// MaxClientConnections returns the most connections of callers; zero if there is no bound.
func (l *Limits) MaxClientConnections() int {
	if l.ClientConnections > 0 {
		return l.ClientConnections
	}
	n := l.Descriptors / connectionDescriptors
	if l.MemoryMb > 0 {
		byMemory := int(l.MemoryMb * bytesPerMb / connectionMemoryPart / connectionBytes)
		if n == 0 || byMemory < n {
			n = byMemory
		}
	}
	return n
}

// AllReplyBytes returns the most bytes of all responses of searchers that are read at the same time; zero if it doesn't follow from the
// machine.
func (l *Limits) AllReplyBytes() int64 {
	return min(maxAllReplyBytes, int64(l.MemoryMb*bytesPerMb/replyPart))
}

// HeapBytes returns the soft limit of the heap in bytes; zero if there is none.
func (l *Limits) HeapBytes() int64 { return int64(l.MemoryMb * bytesPerMb / heapPart) }
