package world

import (
	"errors"

	"github.com/yuccahinge/yuccahinge"
)

// outcomeOf returns the outcome that an error carries, or Unknown.
func outcomeOf(err error) yuccahinge.Outcome {
	var e *yuccahinge.Error
	if errors.As(err, &e) && e.Outcome != "" {
		return e.Outcome
	}
	return yuccahinge.Unknown
}
