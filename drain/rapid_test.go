package drain

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"github.com/yuccahinge/yuccahinge"
)

// init fixes the seed; the command line may name another one.
func init() { _ = flag.Set("rapid.seed", "1") }

// order gives the phases their rank.
var order = map[Phase]int{Serving: 0, Announced: 1, Closing: 2, Done: 3}

func TestDrainAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Drain{Grace: 10, Quiet: 4, Limit: 50}
		var now, start, idle yuccahinge.Millis
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
					t.Skip("the process has ended")
				}
				inFlight++
			},
			"leave": func(t *rapid.T) {
				if inFlight == 0 {
					t.Skip("nothing is in flight")
				}
				inFlight--
				idle = now
			},
			"pass": func(t *rapid.T) {
				now += yuccahinge.Millis(rapid.IntRange(0, 7).Draw(t, "span"))
			},
			"": func(t *rapid.T) {
				phase := d.Step(now, inFlight)
				if order[phase] < order[last] {
					t.Fatalf("phase goes back from %s to %s", last, phase)
				}
				if started != (phase != Serving) || started == d.Ready() {
					t.Fatalf("started is %v, ready is %v in phase %s", started, d.Ready(), phase)
				}
				if order[phase] >= order[Closing] && now < start+d.Grace {
					t.Fatalf("phase %s at %v, within the grace from %v", phase, now, start)
				}
				if phase == Done && last != Done && now < start+d.Limit {
					if inFlight > 0 || now < idle+d.Quiet {
						t.Fatalf("done at %v with %d in flight, idle since %v", now, inFlight, idle)
					}
				}
				if phase == Done && last != Done && d.Cut() != inFlight {
					t.Fatalf("cut %d, counts %d", inFlight, d.Cut())
				}
				if started && phase != Done && now >= start+d.Limit {
					t.Fatalf("phase %s beyond the limit", phase)
				}
				if next, ok := d.Next(now); ok == (phase == Done || phase == Serving) || ok && next < now {
					t.Fatalf("next step of phase %s is %v, %v", phase, next, ok)
				}
				last = phase
			},
		})
	})
}
