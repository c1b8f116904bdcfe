package load

import (
	"time"

	"github.com/yuccahinge/yuccahinge"
)

// Sample is the result of one search.
type Sample struct {
	ID    yuccahinge.RequestID
	Phase int
	Host  int
	// At is the intended start, from the start of the load. Lag is how much later the search was started.
	At  time.Duration
	Lag yuccahinge.Millis
	// Latency is the time from the intended start to the answer; zero if the search was not started.
	Latency yuccahinge.Millis
	Outcome yuccahinge.Outcome
	Code    yuccahinge.Code
	Asked   int
	Covered int
	Reasons map[yuccahinge.Reason]int
	Version yuccahinge.IndexVersion
	// Wrong reports whether the number of hits is not that of the covered shards, or a hit is of another
	// service or index version.
	Wrong bool
	// Marked reports whether the search is one of Generator.Marked.
	Marked bool
}

// Coverage returns the share of the shards that the answer covers, 0 without an answer.
func (s *Sample) Coverage() float64 {
	if s.Asked == 0 {
		return 0
	}
	return float64(s.Covered) / float64(s.Asked)
}

// IsAnswered reports whether the search returned an answer that states its coverage.
func (s *Sample) IsAnswered() bool {
	return s.Asked > 0 && s.Outcome != yuccahinge.NotRun
}
