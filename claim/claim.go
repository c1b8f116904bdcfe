// Package claim provides the table in which a host keeps the claims that it granted.
//
// A claim is the right to run one charge. It belongs to the process life that granted it, so that no
// agreement between hosts is needed: only that life starts the charge, and it does so at most once.
package claim

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/token"
)

// The bounds of a table whose fields are zero.
const (
	// DefaultLife is the time in which a claim can be used.
	DefaultLife = 120 * yuccahinge.Second
	// DefaultKeep is the time for which an outcome is kept after the claim's expiry or its end.
	DefaultKeep = 600 * yuccahinge.Second
	// DefaultLimit is the number of claims that a table remembers.
	DefaultLimit = 65536
	// DefaultBytes is the size of all remembered replies, in bytes.
	DefaultBytes = 64 << 20
	// MaxKey is the size of a business key, in bytes.
	MaxKey = 256
)

// margin is the time for which an unused claim is remembered after its expiry.
const margin = 60 * yuccahinge.Second

var (
	// ErrFull says that the table remembers as many claims as it may.
	ErrFull = errors.New("claim table is full")
	// ErrSealed says that the host is leaving and grants no more.
	ErrSealed = errors.New("claim table is sealed")
	// ErrKeyHeld says that the business key is being or may have been charged under another claim.
	ErrKeyHeld = errors.New("business key is held by another claim")
	// ErrNotGranted says that this life never granted the claim.
	ErrNotGranted = errors.New("claim was never granted")
	// ErrOtherUse says that the claim is bound to another service or body.
	ErrOtherUse = errors.New("claim is bound to another charge")
	// ErrNotRunning says that an outcome came for a claim that was not running.
	ErrNotRunning = errors.New("claim is not running")
)

// Table remembers the claims of one process life and moves each, once, from fresh over running to its outcome.
// Set Owner, Incarnation and, outside tests, Seed before the first use; the zero value of the rest is ready.
// A table is not safe for concurrent use. Time must not step back.
type Table struct {
	Owner       yuccahinge.HostID
	Incarnation yuccahinge.Incarnation
	// Seed makes claims unguessable when it is drawn at random.
	Seed  [32]byte
	Life  yuccahinge.Millis
	Keep  yuccahinge.Millis
	Limit int
	Bytes int

	random   *rand.ChaCha8
	sequence uint64
	sealed   bool
	bytes    int
	entries  map[yuccahinge.ClaimID]*entry
	holders  map[guarded]*entry
	forget   order
}

// Grant returns a fresh claim, unless the business key is remembered as running, as run or as unknown.
func (t *Table) Grant(now yuccahinge.Millis, r yuccahinge.ClaimRequest) (yuccahinge.ClaimGrant, error) {
	t.prepare(now)
	if r.Key == "" || len(r.Key) > MaxKey {
		return yuccahinge.ClaimGrant{}, refusal(yuccahinge.CodeInvalid, "key must be 1 to 256 bytes long", nil)
	}
	if t.sealed {
		return yuccahinge.ClaimGrant{}, refusal(yuccahinge.CodeUnavailable, "host is leaving", ErrSealed)
	}
	g := guarded{r.Service, r.Key}
	if holder := t.holders[g]; holder != nil {
		return yuccahinge.ClaimGrant{}, held(holder)
	}
	if len(t.entries) >= t.limit() || t.bytes >= t.maxBytes() {
		return yuccahinge.ClaimGrant{}, refusal(yuccahinge.CodeUnavailable, "no room for another claim", ErrFull)
	}
	e, err := t.add(now, g)
	if err != nil {
		return yuccahinge.ClaimGrant{}, err
	}
	return yuccahinge.ClaimGrant{Claim: e.id, ExpiresMs: e.expires - now}, nil
}

// Begin decides on a charge that arrived under a claim.
func (t *Table) Begin(now yuccahinge.Millis, id yuccahinge.ClaimID, service yuccahinge.ServiceName, digest yuccahinge.BodyDigest) Decision {
	e, d := t.find(now, id)
	if e == nil {
		return d
	}
	if e.guarded.service != service {
		return refuse(yuccahinge.CodeConflict, "claim is for service "+string(e.guarded.service), ErrOtherUse)
	}
	if e.digest != "" && e.digest != digest {
		return refuse(yuccahinge.CodeConflict, "claim is for another body", ErrOtherUse)
	}
	switch e.state {
	case done:
		return Decision{Verdict: Repeat, Answer: e.report()}
	case running:
		return Decision{Verdict: Wait, Answer: e.report()}
	}
	if holder := t.holders[e.guarded]; holder != nil {
		return Decision{Verdict: Refuse, Err: held(holder)}
	}
	e.state = running
	e.digest = digest
	t.holders[e.guarded] = e
	return Decision{Verdict: Start, Key: e.guarded.key, Answer: e.report()}
}

// End gives a running claim its outcome, for good. It returns ErrNotRunning for any other claim.
func (t *Table) End(now yuccahinge.Millis, id yuccahinge.ClaimID, a yuccahinge.ChargeAnswer) error {
	t.prepare(now)
	e := t.entries[id]
	if e == nil || e.state != running {
		return ErrNotRunning
	}
	e.finish(a)
	e.forget = max(e.expires, now) + t.keep()
	t.bytes += len(a.Reply)
	if !e.holds() {
		t.release(e)
	}
	heap.Fix(&t.forget, e.place)
	return nil
}

// Lookup returns what may be said of a claim.
func (t *Table) Lookup(now yuccahinge.Millis, id yuccahinge.ClaimID) (yuccahinge.ChargeAnswer, error) {
	e, d := t.find(now, id)
	if e == nil {
		return d.Answer, d.Err
	}
	return e.report(), nil
}

// Seal ends all granting and gives every fresh claim the outcome that it did not run. It returns their number.
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

// Len returns the number of remembered claims.
func (t *Table) Len() int { return len(t.entries) }

// find returns the entry of a claim, or nil with the decision that its absence calls for.
func (t *Table) find(now yuccahinge.Millis, id yuccahinge.ClaimID) (*entry, Decision) {
	t.prepare(now)
	k, err := token.Parse(id)
	if err != nil {
		return nil, Decision{Verdict: Refuse, Err: err}
	}
	if k.Owner != t.Owner {
		return nil, refuse(yuccahinge.CodeConflict, "claim belongs to host "+string(k.Owner), ErrNotGranted)
	}
	if k.Incarnation != t.Incarnation {
		return nil, lost(id, yuccahinge.ReasonOwnerLost)
	}
	if e := t.entries[id]; e != nil {
		t.expire(now, e)
		return e, Decision{}
	}
	// Claims are remembered beyond their expiry, so that one which still holds and is not here was never granted.
	if now < k.Expires || k.Sequence > t.sequence {
		return nil, refuse(yuccahinge.CodeNotFound, "no such claim", ErrNotGranted)
	}
	return nil, lost(id, yuccahinge.ReasonForgotten)
}

func (t *Table) prepare(now yuccahinge.Millis) {
	if t.entries == nil {
		t.entries = make(map[yuccahinge.ClaimID]*entry)
		t.holders = make(map[guarded]*entry)
		t.random = rand.NewChaCha8(t.Seed)
	}
	for len(t.forget) > 0 && t.forget[0].forget <= now {
		t.drop(now, t.forget[0])
	}
}

// drop forgets the entry on top of the heap, or moves it down when it is still running.
func (t *Table) drop(now yuccahinge.Millis, e *entry) {
	if e.state == running {
		e.forget = now + t.keep()
		heap.Fix(&t.forget, 0)
		return
	}
	heap.Pop(&t.forget)
	delete(t.entries, e.id)
	t.bytes -= len(e.answer.Reply)
	t.release(e)
}

func (t *Table) release(e *entry) {
	if t.holders[e.guarded] == e {
		delete(t.holders, e.guarded)
	}
}

func (t *Table) add(now yuccahinge.Millis, g guarded) (*entry, error) {
	t.sequence++
	k := token.Token{Owner: t.Owner, Incarnation: t.Incarnation, Sequence: t.sequence}
	// Whole milliseconds, so that the text form is exact.
	k.Expires = yuccahinge.Millis(int64(now + t.life()))
	k.Nonce = [2]uint64{t.random.Uint64(), t.random.Uint64()}
	id, err := k.Format()
	if err != nil {
		return nil, err
	}
	e := &entry{id: id, guarded: g, expires: k.Expires, forget: k.Expires + margin, state: fresh}
	t.entries[id] = e
	heap.Push(&t.forget, e)
	return e, nil
}

// expire ends a claim that was not used in its time.
func (t *Table) expire(now yuccahinge.Millis, e *entry) {
	if e.state == fresh && now >= e.expires {
		e.finish(yuccahinge.ChargeAnswer{Outcome: yuccahinge.NotRun, Reason: yuccahinge.ReasonExpired})
	}
}

func (t *Table) life() yuccahinge.Millis {
	if t.Life > 0 {
		return t.Life
	}
	return DefaultLife
}

func (t *Table) keep() yuccahinge.Millis {
	if t.Keep > 0 {
		return t.Keep
	}
	return DefaultKeep
}

func (t *Table) limit() int {
	if t.Limit > 0 {
		return t.Limit
	}
	return DefaultLimit
}

func (t *Table) maxBytes() int {
	if t.Bytes > 0 {
		return t.Bytes
	}
	return DefaultBytes
}

func held(by *entry) error {
	message := fmt.Sprintf("key was charged under another claim, which is %s", by.state)
	if by.state == done {
		message = fmt.Sprintf("key was charged under another claim, whose outcome is %s", by.answer.Outcome)
	}
	return refusal(yuccahinge.CodeConflict, message, ErrKeyHeld)
}

func lost(id yuccahinge.ClaimID, reason yuccahinge.Reason) Decision {
	a := yuccahinge.ChargeAnswer{Claim: id, Outcome: yuccahinge.Unknown, Reason: reason}
	return Decision{Verdict: Repeat, Answer: a}
}

func refuse(code yuccahinge.Code, message string, err error) Decision {
	return Decision{Verdict: Refuse, Err: refusal(code, message, err)}
}

// refusal says nothing of the outcome of the claim or of the key, which may be running, except where neither exists.
func refusal(code yuccahinge.Code, message string, err error) error {
	e := &yuccahinge.Error{Code: code, Step: yuccahinge.StepClaim, Message: message, Err: err}
	if code != yuccahinge.CodeConflict {
		e.Outcome = yuccahinge.NotRun
	}
	return e
}
