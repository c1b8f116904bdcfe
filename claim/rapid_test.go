package claim

import (
	"errors"
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/yuccahinge/yuccahinge"
)

// init fixes the seed; the command line may name another one.
func init() { _ = flag.Set("rapid.seed", "1") }

// oracle is what the test knows of one granted claim: it never forgets.
type oracle struct {
	key     string
	expires yuccahinge.Millis
	digest  yuccahinge.BodyDigest
	starts  int
	ended   bool
	outcome yuccahinge.Outcome
}

// machine drives a table and checks it against oracles.
type machine struct {
	table  *Table
	now    yuccahinge.Millis
	claims map[yuccahinge.ClaimID]*oracle
	ids    []yuccahinge.ClaimID
	sealed bool
}

func newMachine() *machine {
	return &machine{
		table:  &Table{Owner: "h", Incarnation: "i", Life: 100, Keep: 300, Limit: 12, Bytes: 40},
		claims: make(map[yuccahinge.ClaimID]*oracle),
	}
}

func (m *machine) grant(t *rapid.T) {
	key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
	g, err := m.table.Grant(m.now, yuccahinge.ClaimRequest{Service: service, Key: key})
	if err == nil && m.sealed {
		t.Fatalf("a sealed table granted %s", g.Claim)
	}
	if err == nil && m.held(key) != nil {
		t.Fatalf("granted %s although its key may be charged by %+v", g.Claim, m.held(key))
	}
	if err != nil {
		return
	}
	if m.claims[g.Claim] != nil {
		t.Fatalf("granted %s twice", g.Claim)
	}
	m.claims[g.Claim] = &oracle{key: key, expires: m.now + g.ExpiresMs}
	m.ids = append(m.ids, g.Claim)
}

// held returns a claim that certainly keeps others from the key: one that runs.
func (m *machine) held(key string) *oracle {
	for _, o := range m.claims {
		if o.key == key && o.starts > 0 && !o.ended {
			return o
		}
	}
	return nil
}

func (m *machine) begin(t *rapid.T) {
	id, o := m.draw(t)
	digest := yuccahinge.BodyDigest(rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "digest"))
	d := m.table.Begin(m.now, id, service, digest)
	switch d.Verdict {
	case Start:
		m.started(t, o, digest)
	case Wait:
		if o.starts != 1 || o.ended || o.digest != digest {
			t.Fatalf("waits for %+v", o)
		}
	case Repeat:
		m.repeated(t, o, d.Answer)
	case Refuse:
		if !errors.Is(d.Err, ErrOtherUse) && !errors.Is(d.Err, ErrKeyHeld) {
			t.Fatalf("%s was granted and is refused: %v", id, d.Err)
		}
	}
}

func (m *machine) started(t *rapid.T, o *oracle, digest yuccahinge.BodyDigest) {
	o.starts++
	if o.starts > 1 || m.now >= o.expires || m.sealed {
		t.Fatalf("started %+v at %v, sealed %v", o, m.now, m.sealed)
	}
	for _, other := range m.claims {
		if other != o && other.key == o.key && other.starts > 0 && !other.ended {
			t.Fatalf("%+v and %+v run at once", o, other)
		}
	}
	o.digest = digest
}

func (m *machine) repeated(t *rapid.T, o *oracle, a yuccahinge.ChargeAnswer) {
	if a.Outcome == yuccahinge.NotRun && o.starts > 0 && (!o.ended || o.outcome != yuccahinge.NotRun) {
		t.Fatalf("notRun is said of %+v", o)
	}
	if a.Outcome == yuccahinge.Ran && o.outcome != yuccahinge.Ran {
		t.Fatalf("ran is said of %+v", o)
	}
	if a.Outcome == yuccahinge.Unknown && a.Reason == yuccahinge.ReasonForgotten && m.now < o.expires {
		t.Fatalf("forgot %+v at %v", o, m.now)
	}
}

func (m *machine) end(t *rapid.T) {
	id, o := m.draw(t)
	outcome := rapid.SampledFrom([]yuccahinge.Outcome{yuccahinge.Ran, yuccahinge.NotRun, yuccahinge.Unknown}).Draw(t, "outcome")
	reply := []byte(fmt.Sprintf("%012d", len(m.ids)))
	err := m.table.End(m.now, id, yuccahinge.ChargeAnswer{Outcome: outcome, Reply: reply})
	if running := o.starts > 0 && !o.ended; running != (err == nil) {
		t.Fatalf("end of %+v gives %v", o, err)
	}
	if err == nil {
		o.ended, o.outcome = true, outcome
	}
}

func (m *machine) lookup(t *rapid.T) {
	id, o := m.draw(t)
	a, err := m.table.Lookup(m.now, id)
	if err != nil {
		t.Fatal(err)
	}
	m.repeated(t, o, a)
}

func (m *machine) draw(t *rapid.T) (yuccahinge.ClaimID, *oracle) {
	if len(m.ids) == 0 {
		t.Skip("no claims yet")
	}
	// The newest claims are the ones whose states still change.
	id := m.ids[len(m.ids)-1-rapid.IntRange(0, min(9, len(m.ids)-1)).Draw(t, "back")]
	return id, m.claims[id]
}

func (m *machine) pass(t *rapid.T) {
	m.now += yuccahinge.Millis(rapid.SampledFrom([]float64{0.25, 1, 30, 99, 61_000}).Draw(t, "span"))
}

func (m *machine) seal(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
		m.table.Seal(m.now)
		m.sealed = true
	}
}

func (m *machine) check(t *rapid.T) {
	if m.table.Len() > m.table.Limit {
		t.Fatalf("%d claims are remembered, more than %d", m.table.Len(), m.table.Limit)
	}
	kept := 0
	for _, e := range m.table.entries {
		kept += len(e.answer.Reply)
		if m.table.forget[e.place] != e {
			t.Fatalf("claim %s is not at its place in the heap", e.id)
		}
		if e.forget < m.table.forget[(e.place-1)/2].forget {
			t.Fatalf("claim %s is below one that is forgotten later", e.id)
		}
	}
	if kept != m.table.bytes {
		t.Fatalf("%d bytes are kept and %d counted", kept, m.table.bytes)
	}
}

func TestTableAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"grant": m.grant, "begin": m.begin, "begin again": m.begin, "end": m.end, "lookup": m.lookup,
			"pass": m.pass, "seal": m.seal, "": m.check,
		})
	})
}
