package claim

import "github.com/yuccahinge/yuccahinge"

// state is the state of a claim. It moves from fresh through running to done, or from fresh to done if no charge starts.
type state string

const (
	fresh   state = "fresh"
	running state = "running"
	done    state = "done"
)

// chargeKey identifies a business operation that may be charged once, also when several callers request it.
type chargeKey struct {
	service yuccahinge.ServiceName
	key     string
}

// entry is a claim stored in the table.
type entry struct {
	id      yuccahinge.ClaimID
	charge  chargeKey
	expires yuccahinge.Millis
	// evictAt is the time from which the entry may be evicted, unless its charge is still running.
	evictAt yuccahinge.Millis
	// heapIndex is the entry's index in the evictHeap.
	heapIndex int
	state     state
	// digest is the digest of the request body, set when the charge starts.
	digest yuccahinge.BodyDigest
	answer yuccahinge.ChargeAnswer
}

// holdsKey reports whether the entry prevents charges for its business key under other claims.
func (e *entry) holdsKey() bool {
	if e.state == running {
		return true
	}
	return e.state == done && e.answer.Outcome != yuccahinge.NotRun
}

// report returns the state and outcome of the claim. The outcome is unknown until done: a fresh claim may still run.
func (e *entry) report() yuccahinge.ChargeAnswer {
	a := e.answer
	a.Claim = e.id
	a.State = string(e.state)
	if e.state != done {
		a.Outcome = yuccahinge.Unknown
	}
	return a
}

// finish stores the final outcome.
func (e *entry) finish(a yuccahinge.ChargeAnswer) {
	e.state = done
	e.answer = a
}
