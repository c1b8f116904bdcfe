package claim

import (
	"errors"
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/yuccahinge/yuccahinge"
)

// init sets the default seed; the -rapid.seed flag overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// oracle is the reference state of one granted claim. Unlike a table entry, it is never evicted.
type oracle struct {
	key     string
	expires yuccahinge.Millis
	digest  yuccahinge.BodyDigest
	starts  int
	ended   bool
	outcome yuccahinge.Outcome
}

// machine runs random operations on a table and compares the results with the oracles.
type machine struct {
	table  *Table
	now    yuccahinge.Millis
	claims map[yuccahinge.ClaimID]*oracle
	ids    []yuccahinge.ClaimID
	sealed bool
}

func newMachine() *machine {
	return &machine{
		table:  &Table{Owner: "h", Incarnation: "i", TTL: 100, Retention: 300, MaxClaims: 12, MaxReplyBytes: 40},
		claims: make(map[yuccahinge.ClaimID]*oracle),
	}
}

func (m *machine) grant(t *rapid.T) {
	key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
	grant, err := m.table.Grant(m.now, yuccahinge.ClaimRequest{Service: service, Key: key})
	if err == nil && m.sealed {
		t.Fatalf("sealed table granted claim %s", grant.Claim)
	}
	if err == nil && m.running(key) != nil {
		t.Fatalf("granted claim %s while a charge for its key is running: %+v", grant.Claim, m.running(key))
	}
	if err != nil {
		return
	}
	if m.claims[grant.Claim] != nil {
		t.Fatalf("claim %s was granted twice", grant.Claim)
	}
	m.claims[grant.Claim] = &oracle{key: key, expires: m.now + grant.ExpiresMs}
	m.ids = append(m.ids, grant.Claim)
}

// running returns a running claim for the key, or nil.
func (m *machine) running(key string) *oracle {
	for _, o := range m.claims {
		if o.key == key && o.starts > 0 && !o.ended {
			return o
		}
	}
	return nil
}

func (m *machine) begin(t *rapid.T) {
	id, o := m.drawClaim(t)
	digest := yuccahinge.BodyDigest(rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "digest"))
	d := m.table.Begin(m.now, id, service, digest)
	switch d.Verdict {
	case Start:
		m.checkStart(t, o, digest)
	case Wait:
		if o.starts != 1 || o.ended || o.digest != digest {
			t.Fatalf("Begin returned Wait for claim %+v", o)
		}
	case Replay:
		m.checkAnswer(t, o, d.Answer)
	case Refuse:
		if !errors.Is(d.Err, ErrMismatch) && !errors.Is(d.Err, ErrKeyInUse) {
			t.Fatalf("granted claim %s was refused: %v", id, d.Err)
		}
	}
}

func (m *machine) checkStart(t *rapid.T, o *oracle, digest yuccahinge.BodyDigest) {
	o.starts++
	if o.starts > 1 || m.now >= o.expires || m.sealed {
		t.Fatalf("started claim %+v at %v, sealed %v", o, m.now, m.sealed)
	}
	for _, other := range m.claims {
		if other != o && other.key == o.key && other.starts > 0 && !other.ended {
			t.Fatalf("claims %+v and %+v for one key run concurrently", o, other)
		}
	}
	o.digest = digest
}

func (m *machine) checkAnswer(t *rapid.T, o *oracle, a yuccahinge.ChargeAnswer) {
	if a.Outcome == yuccahinge.NotRun && o.starts > 0 && (!o.ended || o.outcome != yuccahinge.NotRun) {
		t.Fatalf("outcome notRun was reported for claim %+v", o)
	}
	if a.Outcome == yuccahinge.Ran && o.outcome != yuccahinge.Ran {
		t.Fatalf("outcome ran was reported for claim %+v", o)
	}
	if a.Outcome == yuccahinge.Unknown && a.Reason == yuccahinge.ReasonEvicted && m.now < o.expires {
		t.Fatalf("unexpired claim %+v was evicted by %v", o, m.now)
	}
}

func (m *machine) end(t *rapid.T) {
	id, o := m.drawClaim(t)
	outcome := rapid.SampledFrom([]yuccahinge.Outcome{yuccahinge.Ran, yuccahinge.NotRun, yuccahinge.Unknown}).Draw(t, "outcome")
	reply := []byte(fmt.Sprintf("%012d", len(m.ids)))
	err := m.table.End(m.now, id, yuccahinge.ChargeAnswer{Outcome: outcome, Reply: reply})
	if running := o.starts > 0 && !o.ended; running != (err == nil) {
		t.Fatalf("End of claim %+v returned error %v", o, err)
	}
	if err == nil {
		o.ended, o.outcome = true, outcome
	}
}

func (m *machine) lookup(t *rapid.T) {
	id, o := m.drawClaim(t)
	a, err := m.table.Lookup(m.now, id)
	if err != nil {
		t.Fatal(err)
	}
	m.checkAnswer(t, o, a)
}

func (m *machine) drawClaim(t *rapid.T) (yuccahinge.ClaimID, *oracle) {
	if len(m.ids) == 0 {
		t.Skip("no claims yet")
	}
	// Draw from the newest claims, since only their states still change.
	id := m.ids[len(m.ids)-1-rapid.IntRange(0, min(9, len(m.ids)-1)).Draw(t, "back")]
	return id, m.claims[id]
}

func (m *machine) advance(t *rapid.T) {
	m.now += yuccahinge.Millis(rapid.SampledFrom([]float64{0.25, 1, 30, 99, 61_000}).Draw(t, "span"))
}

func (m *machine) seal(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
		m.table.Seal(m.now)
		m.sealed = true
	}
}

func (m *machine) check(t *rapid.T) {
	if m.table.Len() > m.table.MaxClaims {
		t.Fatalf("table has %d claims, more than the limit %d", m.table.Len(), m.table.MaxClaims)
	}
	stored := 0
	for _, e := range m.table.entries {
		stored += len(e.answer.Reply)
		if m.table.evictQueue[e.heapIndex] != e {
			t.Fatalf("claim %s is not at its heap index", e.id)
		}
		if e.evictAt < m.table.evictQueue[(e.heapIndex-1)/2].evictAt {
			t.Fatalf("claim %s is below a heap parent with a later eviction time", e.id)
		}
	}
	if stored != m.table.replyBytes {
		t.Fatalf("stored replies have %d bytes, the table counts %d", stored, m.table.replyBytes)
	}
}

func TestTableAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"grant": m.grant, "begin": m.begin, "begin again": m.begin, "end": m.end, "lookup": m.lookup,
			"pass": m.advance, "seal": m.seal, "": m.check,
		})
	})
}
