package gather

import "github.com/yuccahinge/yuccahinge"

// Kind tells actions apart.
type Kind string

// The kinds of action.
const (
	// Send starts an attempt at a searcher.
	Send Kind = "send"
	// Cancel gives up an attempt whose reply is no longer of use.
	Cancel Kind = "cancel"
	// Finish ends the query: Answer is ready.
	Finish Kind = "finish"
)

// Cause says why an attempt is sent.
type Cause string

// The causes.
const (
	// First is the first attempt at a shard.
	First Cause = "first"
	// Hedge is sent while an earlier attempt may still reply.
	Hedge Cause = "hedge"
	// Renew is sent in place of the first attempt, to the same searcher, when the hedge is late as well.
	Renew Cause = "renew"
	// Retry is sent after an earlier attempt has failed.
	Retry Cause = "retry"
)

// Action is what the shell has to do next.
type Action struct {
	Kind     Kind
	Cause    Cause
	Attempt  yuccahinge.AttemptID
	Shard    yuccahinge.ShardID
	Searcher yuccahinge.SearcherID
	// Deadline is the instant at which the attempt ends.
	Deadline yuccahinge.Millis
}
