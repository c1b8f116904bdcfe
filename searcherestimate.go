package yuccahinge

// SearcherCondition is what an entry host concludes about a searcher from the ends of its calls.
type SearcherCondition string

// Conditions of a searcher. Of several that apply, the first counts.
const (
	// SearcherTrouble means that the searcher refuses calls although it has free slots, or sends invalid answers.
	SearcherTrouble SearcherCondition = "trouble"
	// SearcherSlow means that the searcher takes much longer than its peers although it is not full.
	SearcherSlow SearcherCondition = "slow"
	// SearcherFull means that the searcher has more calls than it handles well.
	SearcherFull SearcherCondition = "full"
	// SearcherWell means none of these.
	SearcherWell SearcherCondition = "well"
)

// SearcherEstimate is what an entry host estimates about one searcher.
type SearcherEstimate struct {
	Searcher  SearcherID        `json:"searcher"`
	Condition SearcherCondition `json:"condition"`
	// SinceMs is the time since the condition began, and Reason says why it did; zero and empty for SearcherWell.
	SinceMs Millis `json:"sinceMs"`
	Reason  string `json:"reason,omitempty"`
	// Capacity is the number of running calls of all hosts up to which the searcher's throughput grows.
	Capacity int `json:"capacity"`
	// Speed is the speed relative to the mean of the peers in the searcher's failure domain; 1 while it isn't known.
	Speed float64 `json:"speed"`
	// Share is the share of its usual calls that the searcher should get, from 0 to 1, in proportion to those of its replicas.
	Share float64 `json:"share"`
}
