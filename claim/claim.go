// Package claim stores the claims that a host has granted and decides whether a charge may run under its claim.
//
// A claim is the right to run one charge. Only the process incarnation that granted a claim may start its charge,
// so at-most-once execution needs no agreement between hosts.
package claim

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/token"
)

// Defaults for the zero fields of a Table, and the key limit.
const (
	// DefaultTTL is how long after its grant a claim can start a charge.
	DefaultTTL = 120 * yuccahinge.Second
	// DefaultRetention is how long an outcome is retained after the claim's expiry or the end of its charge, whichever is
	// later.
	DefaultRetention = 600 * yuccahinge.Second
	// DefaultMaxClaims is the maximum number of claims in a table.
	DefaultMaxClaims = 65536
	// DefaultMaxReplyBytes is the total size of stored replies, in bytes, from which no claim is granted.
	DefaultMaxReplyBytes = 64 << 20
	// MaxKeyBytes is the maximum size of a business key, in bytes.
	MaxKeyBytes = 256
)

// unusedRetention is how long an unused claim is retained after its expiry.
const unusedRetention = 60 * yuccahinge.Second

var (
	// ErrFull means that the table has reached its limit of claims or of reply bytes.
	ErrFull = errors.New("claim table is full")
	// ErrSealed means that the host is shutting down and grants no more claims.
	ErrSealed = errors.New("claim table is sealed")
	// ErrKeyInUse means that a charge for the business key is running, ran or may have run under another claim.
	ErrKeyInUse = errors.New("business key is in use by another claim")
	// ErrNotGranted means that this process incarnation did not grant the claim.
	ErrNotGranted = errors.New("claim was not granted by this process")
	// ErrMismatch means that the claim is bound to another service or request body.
	ErrMismatch = errors.New("claim is bound to another charge")
	// ErrNotRunning means that End was called for a claim that is not running.
	ErrNotRunning = errors.New("claim is not running")
)

// Table holds the claims of one process incarnation. A claim's state only moves forward: fresh, running, done.
// Set Owner, Incarnation and, outside tests, Seed before the first use; zero values of the other fields select
// the defaults. A Table is not safe for concurrent use. The now arguments must not decrease.
type Table struct {
	Owner       yuccahinge.HostID
	Incarnation yuccahinge.Incarnation
	// Seed seeds the nonces in claim IDs. Random bytes make the IDs unguessable.
	Seed          [32]byte
	TTL           yuccahinge.Millis
	Retention     yuccahinge.Millis
	MaxClaims     int
	MaxReplyBytes int

	rng          *rand.ChaCha8
	lastSequence uint64
	sealed       bool
	replyBytes   int
	entries      map[yuccahinge.ClaimID]*entry
	keyHolders   map[chargeKey]*entry
	evictQueue   evictHeap
}

// Grant returns a new claim. It fails with ErrKeyInUse while a charge for the business key is stored as running, ran
// or unknown.
func (t *Table) Grant(now yuccahinge.Millis, r yuccahinge.ClaimRequest) (yuccahinge.ClaimGrant, error) {
	t.prepare(now)
	if r.Key == "" || len(r.Key) > MaxKeyBytes {
		return yuccahinge.ClaimGrant{}, newError(yuccahinge.CodeInvalid, "business key must be 1 to 256 bytes long", nil)
	}
	if t.sealed {
		return yuccahinge.ClaimGrant{}, newError(yuccahinge.CodeUnavailable, "host is shutting down and grants no claims", ErrSealed)
	}
	key := chargeKey{r.Service, r.Key}
	if holder := t.keyHolders[key]; holder != nil {
		return yuccahinge.ClaimGrant{}, keyInUseError(holder)
	}
	if len(t.entries) >= t.maxClaims() || t.replyBytes >= t.maxReplyBytes() {
		return yuccahinge.ClaimGrant{}, newError(yuccahinge.CodeUnavailable, "claim table has reached its limit of claims or reply bytes", ErrFull)
	}
	e, err := t.add(now, key)
	if err != nil {
		return yuccahinge.ClaimGrant{}, err
	}
	return yuccahinge.ClaimGrant{Claim: e.id, ExpiresMs: e.expires - now}, nil
}

// Begin decides what to do with a charge that arrived under a claim. With the verdict Start, the claim is now running.
func (t *Table) Begin(now yuccahinge.Millis, id yuccahinge.ClaimID, service yuccahinge.ServiceName, digest yuccahinge.BodyDigest) Decision {
	e, d := t.find(now, id)
	if e == nil {
		return d
	}
	if e.charge.service != service {
		return refuse(yuccahinge.CodeConflict, "claim is for service "+string(e.charge.service), ErrMismatch)
	}
	if e.digest != "" && e.digest != digest {
		return refuse(yuccahinge.CodeConflict, "claim is for another body", ErrMismatch)
	}
	switch e.state {
	case done:
		return Decision{Verdict: Replay, Answer: e.report()}
	case running:
		return Decision{Verdict: Wait, Answer: e.report()}
	}
	if holder := t.keyHolders[e.charge]; holder != nil {
		return Decision{Verdict: Refuse, Err: keyInUseError(holder)}
	}
	e.state = running
	e.digest = digest
	t.keyHolders[e.charge] = e
	return Decision{Verdict: Start, Key: e.charge.key, Answer: e.report()}
}

// End stores the final outcome of a running claim. It returns ErrNotRunning for a claim in any other state.
func (t *Table) End(now yuccahinge.Millis, id yuccahinge.ClaimID, a yuccahinge.ChargeAnswer) error {
	t.prepare(now)
	e := t.entries[id]
	if e == nil || e.state != running {
		return ErrNotRunning
	}
	e.finish(a)
	e.evictAt = max(e.expires, now) + t.retention()
	t.replyBytes += len(a.Reply)
	if !e.holdsKey() {
		t.releaseKey(e)
	}
	heap.Fix(&t.evictQueue, e.heapIndex)
	return nil
}

// Lookup returns the state and outcome of a claim, with the errors of Begin for an unknown or malformed one.
func (t *Table) Lookup(now yuccahinge.Millis, id yuccahinge.ClaimID) (yuccahinge.ChargeAnswer, error) {
	e, d := t.find(now, id)
	if e == nil {
		return d.Answer, d.Err
	}
	return e.report(), nil
}

// Seal stops granting and ends every fresh claim with the outcome notRun. It returns the number of claims ended.
func (t *Table) Seal(now yuccahinge.Millis) int {
	t.prepare(now)
	t.sealed = true
	count := 0
	for _, e := range t.entries {
		if e.state != fresh {
			continue
		}
		e.finish(yuccahinge.ChargeAnswer{Outcome: yuccahinge.NotRun, Reason: yuccahinge.ReasonDraining})
		count++
	}
	return count
}

// Len returns the number of stored claims.
func (t *Table) Len() int { return len(t.entries) }

// find returns the entry of a claim, or nil and the decision for a claim that is not in the table.
func (t *Table) find(now yuccahinge.Millis, id yuccahinge.ClaimID) (*entry, Decision) {
	t.prepare(now)
	tok, err := token.Parse(id)
	if err != nil {
		return nil, Decision{Verdict: Refuse, Err: err}
	}
	if tok.Owner != t.Owner {
		return nil, refuse(yuccahinge.CodeConflict, "claim belongs to host "+string(tok.Owner), ErrNotGranted)
	}
	if tok.Incarnation != t.Incarnation {
		return nil, unknownOutcome(id, yuccahinge.ReasonOwnerLost)
	}
	if e := t.entries[id]; e != nil {
		t.expire(now, e)
		return e, Decision{}
	}
	// Claims are retained past their expiry, so an unexpired claim that is not in the table was never granted.
	if now < tok.Expires || tok.Sequence > t.lastSequence {
		return nil, refuse(yuccahinge.CodeNotFound, "claim was not granted by this host", ErrNotGranted)
	}
	return nil, unknownOutcome(id, yuccahinge.ReasonEvicted)
}

// prepare initializes the table at its first use and evicts the entries that are due.
func (t *Table) prepare(now yuccahinge.Millis) {
	if t.entries == nil {
		t.entries = make(map[yuccahinge.ClaimID]*entry)
		t.keyHolders = make(map[chargeKey]*entry)
		t.rng = rand.NewChaCha8(t.Seed)
	}
	for len(t.evictQueue) > 0 && t.evictQueue[0].evictAt <= now {
		t.evict(now, t.evictQueue[0])
	}
}

// evict removes e, the top of the heap, from the table. A running entry is kept and its eviction time is moved forward.
func (t *Table) evict(now yuccahinge.Millis, e *entry) {
	if e.state == running {
		e.evictAt = now + t.retention()
		heap.Fix(&t.evictQueue, 0)
		return
	}
	heap.Pop(&t.evictQueue)
	delete(t.entries, e.id)
	t.replyBytes -= len(e.answer.Reply)
	t.releaseKey(e)
}

func (t *Table) releaseKey(e *entry) {
	if t.keyHolders[e.charge] == e {
		delete(t.keyHolders, e.charge)
	}
}

func (t *Table) add(now yuccahinge.Millis, key chargeKey) (*entry, error) {
	t.lastSequence++
	tok := token.Token{Owner: t.Owner, Incarnation: t.Incarnation, Sequence: t.lastSequence}
	// The text form of a claim has whole milliseconds, so the stored expiry is truncated to match it exactly.
	tok.Expires = yuccahinge.Millis(int64(now + t.ttl()))
	tok.Nonce = [2]uint64{t.rng.Uint64(), t.rng.Uint64()}
	id, err := tok.Format()
	if err != nil {
		return nil, err
	}
	e := &entry{id: id, charge: key, expires: tok.Expires, evictAt: tok.Expires + unusedRetention, state: fresh}
	t.entries[id] = e
	heap.Push(&t.evictQueue, e)
	return e, nil
}

// expire ends a fresh claim whose expiry has passed.
func (t *Table) expire(now yuccahinge.Millis, e *entry) {
	if e.state == fresh && now >= e.expires {
		e.finish(yuccahinge.ChargeAnswer{Outcome: yuccahinge.NotRun, Reason: yuccahinge.ReasonExpired})
	}
}

func (t *Table) ttl() yuccahinge.Millis {
	if t.TTL > 0 {
		return t.TTL
	}
	return DefaultTTL
}

func (t *Table) retention() yuccahinge.Millis {
	if t.Retention > 0 {
		return t.Retention
	}
	return DefaultRetention
}

func (t *Table) maxClaims() int {
	if t.MaxClaims > 0 {
		return t.MaxClaims
	}
	return DefaultMaxClaims
}

func (t *Table) maxReplyBytes() int {
	if t.MaxReplyBytes > 0 {
		return t.MaxReplyBytes
	}
	return DefaultMaxReplyBytes
}

func keyInUseError(holder *entry) error {
	message := fmt.Sprintf("business key is in use by another claim, whose state is %s", holder.state)
	if holder.state == done {
		message = fmt.Sprintf("business key was charged under another claim, whose outcome is %s", holder.answer.Outcome)
	}
	return newError(yuccahinge.CodeConflict, message, ErrKeyInUse)
}

func unknownOutcome(id yuccahinge.ClaimID, reason yuccahinge.Reason) Decision {
	a := yuccahinge.ChargeAnswer{Claim: id, Outcome: yuccahinge.Unknown, Reason: reason}
	return Decision{Verdict: Replay, Answer: a}
}

func refuse(code yuccahinge.Code, message string, err error) Decision {
	return Decision{Verdict: Refuse, Err: newError(code, message, err)}
}

// newError sets the outcome notRun, except with CodeConflict: there a charge may be running under the claim or the
// business key, so the outcome is left open.
func newError(code yuccahinge.Code, message string, err error) error {
	e := &yuccahinge.Error{Code: code, Step: yuccahinge.StepClaim, Message: message, Err: err}
	if code != yuccahinge.CodeConflict {
		e.Outcome = yuccahinge.NotRun
	}
	return e
}
