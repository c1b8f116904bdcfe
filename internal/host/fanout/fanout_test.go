package fanout

import (
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// noticeLog records the notices that a host gossips.
type noticeLog []yuccahinge.Notice

func (l *noticeLog) Broadcast(n yuccahinge.Notice)     { *l = append(*l, n) }
func (l *noticeLog) Subscribe(func(yuccahinge.Notice)) {}

func TestDrainOfChargeSearcherIsGossiped(t *testing.T) {
	var gossiped noticeLog
	f := Fanout{HostCount: func() int { return 1 }}
	f.Engine.Gossip = &gossiped
	f.Engine.Clock = fixedClock(1000)
	f.Wire()
	refusal := yuccahinge.ShardResult{
		Outcome: yuccahinge.NotRun,
		Reason:  yuccahinge.ReasonDraining,
		Reply:   &yuccahinge.ShardReply{Load: yuccahinge.LoadReport{Searcher: "b1", Incarnation: "x", Draining: true}},
	}
	f.Started(1000, "b1")
	f.Ended(1001, "b1", &refusal)
	if !f.isDraining("b1") {
		t.Error("the draining searcher may still be picked")
	}
	if len(gossiped) != 1 || gossiped[0].Key != "b1" || gossiped[0].Kind != yuccahinge.NoticeDraining {
		t.Errorf("gossiped %v, want the drain of b1", gossiped)
	}
}

// fixedClock always returns the same time.
type fixedClock yuccahinge.Millis

func (c fixedClock) Now() yuccahinge.Millis { return yuccahinge.Millis(c) }
