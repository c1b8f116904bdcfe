package assess

import "github.com/yuccahinge/yuccahinge"

// Change is a change of a searcher's condition.
type Change struct {
	Before yuccahinge.SearcherCondition
	After  yuccahinge.SearcherEstimate
}
