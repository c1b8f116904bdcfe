package world

import (
	"errors"

	"github.com/yuccahinge/yuccahinge"
)

// outcomeOf returns what an error says of whether anything ran.
func outcomeOf(err error) yuccahinge.Outcome {
	var e *yuccahinge.Error
	if errors.As(err, &e) && e.Outcome != "" {
		return e.Outcome
	}
	return yuccahinge.Unknown
}
