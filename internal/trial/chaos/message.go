package chaos

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/link"
)

// The messages to a host are lost for between minMessageLoss and maxMessageLoss at a time, and the pause between two such losses is
// between minMessagePause and maxMessagePause.
const (
	minMessageLoss  = 200 * time.Millisecond
	maxMessageLoss  = 2 * time.Second
	minMessagePause = time.Second
	maxMessagePause = 4 * time.Second
)

// startMessageLosses lets what the other hosts send to one host, or what it answers them, get lost for a while, again and again. The
// returned function ends that. The series that judge when all hosts know something have none.
func (x *Experiment) startMessageLosses(ctx context.Context) (stop func()) {
	if x.OnlyPlanned || x.Series == SeriesRestore || x.Series == SeriesEvacuate || x.Series == SeriesStrangers {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	r := rand.New(rand.NewPCG(x.Seed, 2000))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(r.Int64N(int64(most-least)))
	}
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			sleep(ctx, between(minMessagePause, maxMessagePause))
			h := x.hosts[r.IntN(len(x.hosts))]
			span := between(minMessageLoss, maxMessageLoss)
			cut := []link.Cut{link.CutToTarget, link.CutFromTarget, link.CutBoth}[r.IntN(3)]
			x.logf("messages to %s are lost for %v (%s)", h.name, span, cut)
			h.peerLink.SetFaults(link.Faults{Cut: cut})
			sleep(ctx, span)
			// Closed first, so that what was held back does not arrive late.
			h.peerLink.CloseConns()
			h.peerLink.SetFaults(link.Faults{Cut: link.CutNone})
		}
	}()
	return func() {
		cancel()
		<-ended
	}
}
