package drain

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"github.com/yuccahinge/yuccahinge"
)

// init sets the default seed; the -rapid.seed flag overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// rank is the position of each phase in the shutdown.
var rank = map[Phase]int{Serving: 0, Announced: 1, Closing: 2, Done: 3}

func TestDrainAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Drain{Grace: 10, QuietPeriod: 4, Timeout: 50}
		var now, start, idleAt yuccahinge.Millis
		var inFlight int
		last, started := Serving, false
		t.Repeat(map[string]func(*rapid.T){
			"start": func(*rapid.T) {
				d.Start(now)
				if !started {
					started, start = true, now
				}
			},
			"arrive": func(t *rapid.T) {
				if last == Done {
					t.Skip("the drain is done")
				}
				inFlight++
			},
			"leave": func(t *rapid.T) {
				if inFlight == 0 {
					t.Skip("no request is in flight")
				}
				inFlight--
				idleAt = now
			},
			"pass": func(t *rapid.T) {
				now += yuccahinge.Millis(rapid.IntRange(0, 7).Draw(t, "span"))
			},
			"": func(t *rapid.T) {
				phase := d.Step(now, inFlight)
				if rank[phase] < rank[last] {
					t.Fatalf("phase changed back from %s to %s", last, phase)
				}
				if started != (phase != Serving) || started == d.Ready() {
					t.Fatalf("started is %v and ready is %v in phase %s", started, d.Ready(), phase)
				}
				if rank[phase] >= rank[Closing] && now < start+d.Grace {
					t.Fatalf("phase is %s at %v, within the grace period from %v", phase, now, start)
				}
				if phase == Done && last != Done && now < start+d.Timeout {
					if inFlight > 0 || now < idleAt+d.QuietPeriod {
						t.Fatalf("phase is done at %v with %d in flight, idle since %v", now, inFlight, idleAt)
					}
				}
				if phase == Done && last != Done && d.Cut() != inFlight {
					t.Fatalf("timeout cut %d requests, Cut returned %d", inFlight, d.Cut())
				}
				if started && phase != Done && now >= start+d.Timeout {
					t.Fatalf("phase is %s after the timeout", phase)
				}
				if next, ok := d.Next(now); ok == (phase == Done || phase == Serving) || ok && next < now {
					t.Fatalf("Next in phase %s returned %v, %v", phase, next, ok)
				}
				last = phase
			},
		})
	})
}
