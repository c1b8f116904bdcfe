package claim

import "github.com/yuccahinge/yuccahinge"

// state is a claim's place in its life: fresh, running, then one of the three outcomes, for good.
type state string

const (
	fresh   state = "fresh"
	running state = "running"
	done    state = "done"
)

// guarded names what two clerks might charge twice.
type guarded struct {
	service yuccahinge.ServiceName
	key     string
}

// entry is a claim that the table remembers.
type entry struct {
	id      yuccahinge.ClaimID
	guarded guarded
	expires yuccahinge.Millis
	// forget is the instant from which the entry may be dropped.
	forget yuccahinge.Millis
	// place is the entry's index in the heap.
	place  int
	state  state
	digest yuccahinge.BodyDigest
	answer yuccahinge.ChargeAnswer
}

// holds reports whether the entry keeps others from charging its key.
func (e *entry) holds() bool {
	if e.state == running {
		return true
	}
	return e.state == done && e.answer.Outcome != yuccahinge.NotRun
}

// report returns what may be said of the claim. A fresh claim may yet run, so that its outcome is unknown too.
func (e *entry) report() yuccahinge.ChargeAnswer {
	a := e.answer
	a.Claim = e.id
	a.State = string(e.state)
	if e.state != done {
		a.Outcome = yuccahinge.Unknown
	}
	return a
}

// finish gives the entry its outcome.
func (e *entry) finish(a yuccahinge.ChargeAnswer) {
	e.state = done
	e.answer = a
}
