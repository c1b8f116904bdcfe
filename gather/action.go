package gather

import "github.com/yuccahinge/yuccahinge"

// Kind is the type of an Action.
type Kind string

// The kinds of action.
const (
	// Send starts an attempt at a searcher.
	Send Kind = "send"
	// Cancel abandons an attempt whose reply is no longer needed.
	Cancel Kind = "cancel"
	// Finish ends the query: Gather.Answer is ready.
	Finish Kind = "finish"
)

// Cause is the reason for which an attempt is sent.
type Cause string

// The causes of an attempt.
const (
	// First is the first attempt at a shard.
	First Cause = "first"
	// Hedge is sent while an earlier attempt may still reply.
	Hedge Cause = "hedge"
	// Reissue replaces the first attempt, which is canceled, when its hedge is late as well. It may go to the same
	// searcher.
	Reissue Cause = "renew"
	// Retry is sent after an earlier attempt has failed.
	Retry Cause = "retry"
)

// Action is an instruction to the code that drives a Gather. Only Kind is set for Finish; Cause and Deadline are
// set for Send.
type Action struct {
	Kind     Kind
	Cause    Cause
	Attempt  yuccahinge.AttemptID
	Shard    yuccahinge.ShardID
	Searcher yuccahinge.SearcherID
	// Deadline is the instant at which the attempt times out.
	Deadline yuccahinge.Millis
}
