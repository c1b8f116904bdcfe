package config

import "github.com/yuccahinge/yuccahinge"

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
}
