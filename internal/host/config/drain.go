package config

import "github.com/yuccahinge/yuccahinge"

// Drain configures the graceful shutdown.
type Drain struct {
	GraceMs    yuccahinge.Millis `json:"graceMs"`
	DeadlineMs yuccahinge.Millis `json:"deadlineMs"`
}
