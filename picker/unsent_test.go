package picker

import (
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// TestUnsentCallsDoNotCountAsSilence covers calls that wait for a connection and are dropped when their request is
// answered. The searcher never got them, so it must not count as frozen or cut off.
func TestUnsentCallsDoNotCountAsSilence(t *testing.T) {
	unsent := yuccahinge.ShardResult{Outcome: yuccahinge.NotRun, Reason: yuccahinge.ReasonShed}
	canceled := yuccahinge.ShardResult{Outcome: yuccahinge.Unknown, Reason: yuccahinge.ReasonCanceled, Latency: 1}
	for name, c := range map[string]struct {
		ends []yuccahinge.ShardResult
		want bool // whether the searcher counts as silent afterwards
	}{
		"replied, then unsent":  {[]yuccahinge.ShardResult{ran(5, yuccahinge.LoadReport{}), unsent, unsent}, false},
		"only unsent":           {[]yuccahinge.ShardResult{unsent, unsent}, false},
		"canceled, then unsent": {[]yuccahinge.ShardResult{canceled, unsent}, true},
	} {
		bal := &Balancer{Domain: "d", WatchDomains: true}
		ix := index(1)
		for range cutCalls {
			bal.Pick(1, ix, &ix.Shards[0], nil)
			for range c.ends {
				bal.Started(1, "s0")
			}
			for i := range c.ends {
				bal.Ended(2, "s0", &c.ends[i])
			}
		}
		if got := bal.IsEjected(5000, "s0"); got != c.want {
			t.Errorf("%s: ejected %t, want %t", name, got, c.want)
		}
		if got := len(bal.CutDomains(5000)) > 0; got != c.want {
			t.Errorf("%s: CutDomains lists the domain %t, want %t", name, got, c.want)
		}
		if got := bal.IsDomainCut(5000, "d"); got != c.want || bal.IsDomainCut(5000, "unknown") {
			t.Errorf("%s: IsDomainCut(d) is %t, want %t and false for an unknown domain", name, got, c.want)
		}
	}
}
