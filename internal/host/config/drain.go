package config

import "github.com/yuccahinge/yuccahinge"

const (
	// maxDeadlineShare is the largest share of KillMs that the drain takes. The process ends in the rest.
	maxDeadlineShare = 11.0 / 12
	// maxGraceShare is the largest share of the drain, if KillMs bounds it, in which new connections are accepted.
	maxGraceShare = 0.6
)

// Drain configures the graceful shutdown.
type Drain struct {
	GraceMs    yuccahinge.Millis `json:"graceMs"`
	DeadlineMs yuccahinge.Millis `json:"deadlineMs"`
	KillMs     yuccahinge.Millis `json:"killMs"`
}

// bound reduces GraceMs and DeadlineMs so that the process ends before it is killed.
func (d *Drain) bound() {
	if d.KillMs <= 0 {
		return
	}
	d.DeadlineMs = min(d.DeadlineMs, maxDeadlineShare*d.KillMs)
	d.GraceMs = min(d.GraceMs, maxGraceShare*d.DeadlineMs)
}
