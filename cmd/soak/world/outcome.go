package world

import (
	"errors"

	"github.com/yuccahinge/yuccahinge"
)

// errorOutcome returns the outcome that an error carries, or nothing.
func errorOutcome(err error) yuccahinge.Outcome {
	var e *yuccahinge.Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return ""
}
