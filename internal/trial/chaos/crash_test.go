package chaos

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/origin"
)

// TestHostsTogetherRefuseARequestThatCrashesSearchers guards against a request that goes on crashing the searchers that run
// it, because each host that gets it again tries it anew, or one that has been restarted.
func TestHostsTogetherRefuseARequestThatCrashesSearchers(t *testing.T) {
	x := &Experiment{Binary: buildBinary(t), Dir: t.TempDir(), Seed: 29, Shape: Shape{Hosts: 4}}
	if err := x.prepare(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer x.stopHosts()
	if err := x.awaitFullCoverage(t.Context(), "the start"); err != nil {
		t.Fatal(err)
	}
	stop := x.startCallers(t.Context())
	stopCrashes := x.startCrashCallers(t.Context())
	time.Sleep(20 * time.Second)
	stopCrashes()
	x.hosts[0].restart(t.Context(), syscall.SIGKILL, 0)
	if err := x.awaitFullCoverage(t.Context(), "the end"); err != nil {
		t.Error(err)
	}
	time.Sleep(contactTime)
	c := newCaller(x, 1000)
	for _, route := range []string{"wide", "read", "pay"} {
		a := c.call(t.Context(), x.hosts[0], route+origin.CrashPath)
		if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
			t.Errorf("a host that was restarted answers the %s request with status %d, %v; want a refusal with a Retry-After", route, a.status, a.err)
		}
	}
	stop()
	x.checkCrashes()
	r := x.checker.report(&x.env.runs)
	for _, v := range r.Violations {
		t.Error(v)
	}
	crashed, reached := 0, map[string]map[string]bool{}
	for _, a := range x.env.crashes.Arrivals() {
		if a.Crashed {
			crashed++
		}
		if reached[a.Path] == nil {
			reached[a.Path] = map[string]bool{}
		}
		reached[a.Path][a.Attempt] = true
	}
	for path, attempts := range reached {
		t.Logf("request %s reached searchers in %d attempts", path, len(attempts))
	}
	t.Logf("%d searchers crashed; %d requests, %d answered, %d refused, %d failed", crashed, r.Requests, r.Answered, r.Refused, r.Failed)
}

// TestLateRetriesOfACrashingRequestAreCounted checks the checker.
func TestLateRetriesOfACrashingRequestAreCounted(t *testing.T) {
	start := time.Unix(1, 0)
	at := func(attempt, searcher string, after time.Duration) origin.CrashArrival {
		return origin.CrashArrival{Path: "/read/crash/x", Attempt: attempt, Searcher: searcher, Crashed: true, At: start.Add(after), CrashedAt: start.Add(after)}
	}
	arrivals := []origin.CrashArrival{at("1", "a", 0), at("1", "b", 1), at("2", "c", time.Second), at("3", "d", 4*time.Second)}
	none := func(string) bool { return false }
	for i, attempt := range []string{"4", "4", "5", "6", "7"} {
		arrivals = append(arrivals, at(attempt, "e", 6*time.Second+time.Duration(i)))
		if got, want := len(crashViolations(arrivals, none)), valueIf(attempt == "7", 1, 0); got != int(want) {
			t.Errorf("%d violations after attempt %s, want %d", got, attempt, want)
		}
	}
	if got := crashViolations(arrivals, func(attempt string) bool { return attempt == "5" }); len(got) > 0 {
		t.Errorf("an excused retry was counted: %v", got)
	}
}
