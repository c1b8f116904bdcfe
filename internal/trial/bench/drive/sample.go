package drive

import (
	"time"

	"github.com/yuccahinge/yuccahinge"
)

// Sample is what one search came to.
type Sample struct {
	ID    yuccahinge.RequestID
	Phase int
	Host  int
	// At is the intended start, Lag how much later the search was begun.
	At      time.Duration
	Lag     yuccahinge.Millis
	Latency yuccahinge.Millis
	Outcome yuccahinge.Outcome
	Code    yuccahinge.Code
	Asked   int
	Covered int
	Reasons map[yuccahinge.Reason]int
	Version yuccahinge.IndexVersion
	// Wrong means that the hits are not those of the covered shards at the stated version.
	Wrong  bool
	Marked bool
}

// Coverage returns the covered share of the shards.
func (s *Sample) Coverage() float64 {
	if s.Asked == 0 {
		return 0
	}
	return float64(s.Covered) / float64(s.Asked)
}

// IsAnswered reports whether the search brought an answer with any coverage figure.
func (s *Sample) IsAnswered() bool {
	return s.Asked > 0 && s.Outcome != yuccahinge.NotRun
}
