// Package relay lets entry hosts get the list of searchers from each other while the platform can't be read.
package relay

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge"
)

// Method is the peer method that returns the list of searchers.
const Method yuccahinge.PeerMethod = "searchers"

const (
	// askPeers is the number of hosts that are asked for the list at a time.
	askPeers = 3
	// callMs bounds a call to a peer.
	callMs = 1 * yuccahinge.Second
)

// errNoList reports that no peer has given its list.
var errNoList = errors.New("no peer gave its list of searchers")

// Relay answers peers with the list of this host and asks them for theirs. Set Peers, Roster and Self before the first
// use.
type Relay struct {
	Self   yuccahinge.HostID
	Peers  yuccahinge.PeerCaller
	Roster yuccahinge.Roster

	list atomic.Pointer[yuccahinge.Batch]
	turn atomic.Uint32 // rounds, each of which begins with other hosts
}

// Keep takes the list that this host has.
func (r *Relay) Keep(list *yuccahinge.Batch) { r.list.Store(list) }

// Register hands the peer method to a server.
func (r *Relay) Register(handle func(yuccahinge.PeerMethod, yuccahinge.PeerHandler)) {
	handle(Method, func(context.Context, func(any) error) (any, error) {
		if list := r.list.Load(); list != nil {
			return list, nil
		}
		return nil, &yuccahinge.Error{Code: yuccahinge.CodeNotFound, Step: yuccahinge.StepPeer, Message: "this host has no list of searchers"}
	})
}

// List returns the newest list that a few peers have.
func (r *Relay) List(ctx context.Context) (*yuccahinge.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, callMs.Duration())
	defer cancel()
	answers := make(chan *yuccahinge.Batch, askPeers)
	asked := 0
	members := r.Roster.Members()
	first := int(r.turn.Add(1)) * askPeers
	for i := range members {
		m := members[(first+i)%len(members)]
		if m.ID == string(r.Self) || m.PeerAddr == "" || asked == askPeers {
			continue
		}
		asked++
		go func() { answers <- r.ask(ctx, m.PeerAddr) }()
	}
	var best *yuccahinge.Batch
	for range asked {
		if b := <-answers; b != nil && (best == nil || b.Revision > best.Revision) {
			best = b
		}
	}
	if best == nil {
		return nil, errNoList
	}
	return best, nil
}

// ask returns a peer's list, or nil. The peer may be gone or new itself; the roster learns of it elsewhere.
func (r *Relay) ask(ctx context.Context, addr string) *yuccahinge.Batch {
	out := new(yuccahinge.Batch)
	if err := r.Peers.Call(ctx, addr, Method, struct{}{}, out); err != nil {
		return nil
	}
	return out
}
