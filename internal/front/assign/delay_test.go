package assign

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/clock"
	"github.com/yuccahinge/yuccahinge/coord"
	"github.com/yuccahinge/yuccahinge/internal/front/query"
	"github.com/yuccahinge/yuccahinge/internal/peers/peer"
	"github.com/yuccahinge/yuccahinge/internal/peers/pool"
)

// slowEngine records how long each request still has when it starts, and takes a while for it.
type slowEngine struct {
	left chan yuccahinge.Millis
	took time.Duration
}

func (e *slowEngine) Forward(_ context.Context, f *query.ForwardRequest) (*query.ForwardAnswer, error) {
	e.left <- f.Deadline - clock.Clock{}.Now()
	time.Sleep(e.took)
	return &query.ForwardAnswer{Records: []byte("records")}, nil
}

func (e *slowEngine) AnswerBy(f *query.ForwardRequest) yuccahinge.Millis { return f.Arrived + 1000 }

func (e *slowEngine) MayReportLoss(context.Context, *query.PartLoss) (bool, error) { return false, nil }

// delegateOverNetwork sends requests with 1000 ms left over one connection, and returns how long each still has when the
// other host starts it. That host starts to serve serveAfter later and takes took for each request.
func delegateOverNetwork(t *testing.T, requests int, serveAfter, took time.Duration) []yuccahinge.Millis {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := newNetwork()
	e := &slowEngine{left: make(chan yuccahinge.Millis, requests), took: took}
	strong := n.hosts["strong1"]
	strong.Engine = e
	var s peer.Server
	strong.Register(s.Handle)
	ctx, cancel := context.WithCancel(t.Context())
	var serving, sending errgroup.Group
	serving.Go(func() error {
		time.Sleep(serveAfter)
		return s.Serve(ctx, l)
	})
	p := pool.Pool{MaxPerAddr: 1}
	weak := n.hosts["weak"]
	weak.Engine, weak.Peers = e, &p
	weak.Selector = &coord.Selector{Self: n.members[0]}
	n.members = n.members[:2]
	n.members[1].PeerAddr = l.Addr().String()
	for range requests {
		f := newScatteredForward(servicesHash)
		f.Deadline = f.Arrived + 1000
		sending.Go(func() error {
			_, err := weak.Forward(ctx, f)
			return err
		})
	}
	if err := sending.Wait(); err != nil {
		t.Error(err)
	}
	p.Close()
	cancel()
	if err := serving.Wait(); err != nil {
		t.Error(err)
	}
	out := make([]yuccahinge.Millis, 0, requests)
	for range requests {
		out = append(out, <-e.left)
	}
	return out
}

// TestTimeLeftCountsTheWaitForAConnection guards against searchers that get more time than the caller has left because the
// request waited for a connection to the host that runs it.
func TestTimeLeftCountsTheWaitForAConnection(t *testing.T) {
	left := delegateOverNetwork(t, 2, 0, 300*time.Millisecond)
	if left[1] > 710 {
		t.Errorf("a request with 1000 ms left that waited 300 ms for a connection has %.0f ms left", left[1])
	}
}

// TestTimeLeftCountsTheWaitOfUnreadRequests guards against searchers that get more time than the caller has left because
// the host that runs the request was too busy to read it.
func TestTimeLeftCountsTheWaitOfUnreadRequests(t *testing.T) {
	left := delegateOverNetwork(t, 1, 300*time.Millisecond, 0)
	if left[0] > 720 {
		t.Errorf("a request with 1000 ms left that was not read for 300 ms has %.0f ms left", left[0])
	}
}
