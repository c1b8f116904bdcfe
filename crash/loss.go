package crash

import "github.com/yuccahinge/yuccahinge"

// Loss is the loss of a searcher that had got a request.
type Loss struct {
	Fingerprint yuccahinge.Fingerprint
	// Services is a hash of the services that the request was for.
	Services uint64
	Searcher yuccahinge.SearcherID
	// SentAt is when the request was sent, and LostAt when the connection was closed.
	SentAt, LostAt yuccahinge.Millis
	// Unfinished is set if this host closed the connection before the searcher responded, and the searcher has shown after that that
	// it had not ended.
	Unfinished bool
}
