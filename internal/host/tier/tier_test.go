package tier

import (
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// told keeps the notices that a host spreads.
type told []yuccahinge.Notice

func (t *told) Tell(n yuccahinge.Notice)          { *t = append(*t, n) }
func (t *told) Subscribe(func(yuccahinge.Notice)) {}

func TestDrainOfAChargeSearcherIsTold(t *testing.T) {
	var gossip told
	tier := Tier{Hosts: func() int { return 1 }}
	tier.Engine.Gossip = &gossip
	tier.Engine.Clock = still(1000)
	tier.Wire()
	refusal := yuccahinge.ShardResult{
		Outcome: yuccahinge.NotRun,
		Reason:  yuccahinge.ReasonDraining,
		Reply:   &yuccahinge.ShardReply{Load: yuccahinge.LoadReport{Searcher: "b1", Incarnation: "x", Draining: true}},
	}
	tier.Started(1000, "b1")
	tier.Ended(1001, "b1", &refusal)
	if !tier.draining("b1") {
		t.Error("the searcher may still be picked")
	}
	if len(gossip) != 1 || gossip[0].Key != "b1" || gossip[0].Kind != yuccahinge.NoticeDraining {
		t.Errorf("told %v, want the drain of b1", gossip)
	}
}

// still is a clock that stands still.
type still yuccahinge.Millis

func (s still) Now() yuccahinge.Millis { return yuccahinge.Millis(s) }
