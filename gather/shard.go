package gather

import "github.com/yuccahinge/yuccahinge"

// maxAttempts bounds the attempts at one shard: the first, a hedge, a reissue and a retry.
const maxAttempts = 4

// shard holds the progress of the query at one shard.
type shard struct {
	index     int // position in Gather.Index
	spec      *yuccahinge.Shard
	reply     *yuccahinge.ShardReply
	reason    yuccahinge.Reason
	lacking   bool
	retried   bool
	hedged    bool
	refused   bool // a searcher refused an attempt
	full      bool // a searcher refused an attempt because of its load
	held      bool // the retry waits for a reply of another shard
	delegated bool // another host queries the shard
	// coveredRemotely is set when the host that queried the shard has a reply from it.
	coveredRemotely bool
	inFlight        int // attempts in flight
	attemptsSent    int
	unsent          int // attempts that were dropped before they were sent
	tried           [maxAttempts]yuccahinge.SearcherID
	hedgeAt         yuccahinge.Millis // a hedge is due at this instant if few shards are pending; zero for no hedge
	lateHedgeAt     yuccahinge.Millis // a hedge is due at this instant however many shards are pending
}

func (s *shard) settled() bool { return s.reply != nil || s.coveredRemotely || s.lacking }

// setLacking keeps the reason of an earlier failed attempt, if there is one.
func (s *shard) setLacking(r yuccahinge.Reason) {
	s.lacking = true
	if s.reason == "" {
		s.reason = r
	}
}

// attempt is one call to a searcher.
type attempt struct {
	id       yuccahinge.AttemptID
	shard    int
	searcher yuccahinge.SearcherID
	sentAt   yuccahinge.Millis
	// budget granted the attempt and is refunded if the attempt is never sent; nil for none.
	budget   yuccahinge.AttemptBudget
	ended    bool
	canceled bool
	notRun   bool
}
