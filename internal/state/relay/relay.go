// Package relay serves the list of searchers to other entry hosts and reads it from them, so that only a few hosts
// read the platform.
package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/census"
	"github.com/yuccahinge/yuccahinge/internal/state/delays"
	"github.com/yuccahinge/yuccahinge/rendez"
)

// MethodSearchers is the peer method that returns changes of the list of searchers.
const MethodSearchers yuccahinge.PeerMethod = "searchers"

const (
	// minReaders is the minimum number of hosts that read the platform, and hostsPerReader the maximum number of
	// hosts per such reader. The platform sends every heartbeat of every searcher to each reader; any other host calls a
	// reader a few times a second at most, so that serving all these hosts takes a few percent of the processor of
	// a weak host.
	minReaders     = 2
	hostsPerReader = 48
	// maxReadAgeMs is the age of its last read of the platform above which a host refuses requests, except those that
	// accept any list. It is over the time from one read to the next on a quiet platform.
	maxReadAgeMs yuccahinge.Millis = 1800
	// anyPeerCalls is the number of hosts called in parallel when neither the platform nor its readers answer.
	anyPeerCalls = 3
	// homeRetryAnswers is the number of answers from a reader (a host that reads the platform) after which a host
	// again first calls the reader of its own failure domain.
	homeRetryAnswers = 20
	// callTimeoutMs is the timeout of a call to a peer, in addition to the wait that it requests.
	callTimeoutMs yuccahinge.Millis = 550
)

var errNoList = errors.New("no peer returned a list of searchers")

// Relay serves this host's list of searchers to peers and reads theirs. It implements yuccahinge.ListWatcher. Set Self,
// Peers, Membership and Clock before the first use. Its methods are safe for concurrent use.
type Relay struct {
	Self yuccahinge.HostID
	// Domain is this host's failure domain.
	Domain     yuccahinge.DomainID
	Peers      yuccahinge.PeerCaller
	Membership yuccahinge.Membership
	Clock      yuccahinge.Clock
	// Bound sets the delays of WatchNewer.
	Bound delays.Bound

	mu            sync.Mutex
	changesSince  func(yuccahinge.Position) *yuccahinge.ChangeBatch
	epoch         yuccahinge.Epoch    // that of the list
	lastChange    yuccahinge.Position // position of the newest change
	lastRead      yuccahinge.Millis   // when the platform was last read; zero if the list is not fresh
	changed       chan struct{}       // closed at the next change, or when the list is no longer fresh
	anyCalls      int                 // number of calls of AnyPeer, which rotates through the peers
	lastReader    yuccahinge.HostID   // the reader that answered last; empty for none
	readerAnswers int                 // answers since lastReader was last reset

	fresh           chan struct{}                           // closed when the platform has been read and the list is fresh
	passedOverUntil map[yuccahinge.HostID]yuccahinge.Millis // hosts that are not called at present, and until when
	endWatch        context.CancelCauseFunc                 // ends the watch in progress; nil if there is none
	readAskedUntil  yuccahinge.Millis                       // until when a new watch ends at once, so that this host reads the platform
}

var _ yuccahinge.ListWatcher = (*Relay)(nil)

// request requests the changes after a revision of an epoch.
type request struct {
	After  yuccahinge.Revision `json:"after"`
	Epoch  yuccahinge.Epoch    `json:"epoch,omitempty"`
	WaitMs yuccahinge.Millis   `json:"waitMs,omitempty"`
	// Any accepts the list of a host that cannot read the platform either.
	Any bool `json:"any,omitempty"`
	// Substitute asks a host that is no reader to become one for a while, since the caller reaches none.
	Substitute bool `json:"substitute,omitempty"`
	// Refresh asks for the result of a read of the platform even if that has found no change, if it was made no earlier than
	// RefreshInMs after the request arrives. RefreshInMs may be negative.
	Refresh     bool              `json:"refresh,omitempty"`
	RefreshInMs yuccahinge.Millis `json:"refreshInMs,omitempty"`
}

func (r *request) position() yuccahinge.Position {
	return yuccahinge.Position{Epoch: r.Epoch, Revision: r.After}
}

// SetList sets this host's list: its position, whether it has changed since the last call, whether it is fresh (just
// read from the platform and in sync), and a function that returns the changes after a position. The function is
// called under the relay's lock only.
func (r *Relay) SetList(position yuccahinge.Position, changed, fresh bool, changesSince func(yuccahinge.Position) *yuccahinge.ChangeBatch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changesSince = changesSince
	r.epoch = position.Epoch
	r.lastRead = 0
	if fresh {
		r.lastRead = r.Clock.Now()
		if r.fresh != nil {
			close(r.fresh)
			r.fresh = nil
		}
	}
	if changed {
		r.lastChange = position
	}
	// Waiting peers get an error at once when the list is no longer fresh.
	if (changed || !fresh) && r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// WithLock calls f while no peer is being answered, so that f may change the data that the function given to SetList reads.
func (r *Relay) WithLock(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// IsReader reports whether this host is a reader: one that reads the platform directly.
func (r *Relay) IsReader() bool { return slices.Contains(r.readers(nil), r.Self) }

// readers returns the hosts that read the platform, according to this host's membership, or those that would do so if the hosts in
// passedOver were not there. They are in different failure domains as far as possible.
func (r *Relay) readers(passedOver []yuccahinge.HostID) []yuccahinge.HostID {
	domains := make(map[string]yuccahinge.DomainID)
	ids := []string{string(r.Self)}
	for _, m := range r.Membership.Members() {
		domains[m.ID] = m.Domain
		if m.Status == yuccahinge.StatusLive && m.ID != string(r.Self) {
			ids = append(ids, m.ID)
		}
	}
	domains[string(r.Self)] = r.Domain
	n := max(minReaders, (len(ids)+hostsPerReader-1)/hostsPerReader)
	ids = slices.DeleteFunc(ids, func(id string) bool { return slices.Contains(passedOver, yuccahinge.HostID(id)) })
	n = min(n, len(ids))
	order := rendez.Order("searchers", ids)
	usedDomains := make(map[yuccahinge.DomainID]bool)
	var out []yuccahinge.HostID
	for _, distinctDomains := range [...]bool{true, false} {
		for _, id := range order {
			if len(out) == n {
				return out
			}
			if slices.Contains(out, yuccahinge.HostID(id)) || distinctDomains && usedDomains[domains[id]] {
				continue
			}
			usedDomains[domains[id]] = true
			out = append(out, yuccahinge.HostID(id))
		}
	}
	return out
}

// Register registers the peer method with a server.
func (r *Relay) Register(handle func(yuccahinge.PeerMethod, yuccahinge.PeerHandler)) {
	handle(MethodSearchers, func(ctx context.Context, decode func(any) error) (any, error) {
		var req request
		if err := decode(&req); err != nil {
			return nil, err
		}
		return r.answer(ctx, &req)
	})
}

func (r *Relay) answer(ctx context.Context, req *request) (any, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	refreshFrom := r.Clock.Now() + req.RefreshInMs
	isOverdue := req.Refresh && req.RefreshInMs <= 0 && !r.hasNews(req, refreshFrom)
	switch {
	case req.Substitute && (isOverdue || !r.canAnswer(req)):
		r.awaitRead(ctx, req, refreshFrom)
	case req.WaitMs > 0 && r.canAnswer(req):
		r.awaitNews(ctx, req, refreshFrom)
	}
	if !r.canAnswer(req) {
		return nil, &yuccahinge.Error{Code: yuccahinge.CodeUnavailable, Step: yuccahinge.StepPlatform, Message: "this host can't read the platform"}
	}
	b := r.changesSince(req.position())
	if r.lastRead > 0 {
		b.AgeMs = r.Clock.Now() - r.lastRead
	}
	return b, nil
}

// canAnswer reports whether this host has a list that is recent enough for the request.
func (r *Relay) canAnswer(req *request) bool {
	switch {
	case r.changesSince == nil:
		return false
	case req.Any:
		return true
	case req.Epoch > r.epoch:
		return false // this host has not read the platform since it came back
	default:
		return r.lastRead > 0 && r.Clock.Now() <= r.lastRead+maxReadAgeMs
	}
}

// hasNews reports whether this host's list has changed since the requested position, or was read at or after refreshFrom if the
// request asks for that.
func (r *Relay) hasNews(req *request, refreshFrom yuccahinge.Millis) bool {
	return req.position().Before(r.lastChange) || req.Epoch < r.epoch || req.Refresh && r.lastRead > 0 && r.lastRead >= refreshFrom
}

// awaitNews returns when this host has news for the request, when the list is no longer fresh or this host has not read the platform
// for maxReadAgeMs, or when the requested wait ends. The caller holds the lock, which is released during the wait.
func (r *Relay) awaitNews(ctx context.Context, req *request, refreshFrom yuccahinge.Millis) {
	if r.hasNews(req, refreshFrom) {
		return
	}
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	changed := r.changed
	ctx, cancel := context.WithTimeout(ctx, req.WaitMs.Duration())
	defer cancel()
	for r.canAnswer(req) && !r.hasNews(req, refreshFrom) && ctx.Err() == nil {
		fresh := r.nextFresh()
		outdated := time.NewTimer((r.lastRead + maxReadAgeMs - r.Clock.Now() + 1).Duration())
		r.mu.Unlock()
		select {
		case <-changed:
			cancel()
		case <-fresh:
		case <-outdated.C:
		case <-ctx.Done():
		}
		outdated.Stop()
		r.mu.Lock()
	}
}

// nextFresh returns a channel that is closed when the platform has been read next. The caller holds the lock.
func (r *Relay) nextFresh() <-chan struct{} {
	if r.fresh == nil {
		r.fresh = make(chan struct{})
	}
	return r.fresh
}

// isRefusal reports whether a host that should read the platform replied that it cannot.
func isRefusal(err error) bool {
	var e *yuccahinge.Error
	return errors.As(err, &e) && e.Step == yuccahinge.StepPlatform
}

// AnyPeer returns the newest list of a few peers, whether or not they can read the platform.
func (r *Relay) AnyPeer(ctx context.Context, after yuccahinge.Position) (*yuccahinge.ChangeBatch, error) {
	members := r.Membership.Members()
	r.mu.Lock()
	r.anyCalls++
	first := r.anyCalls * anyPeerCalls
	r.mu.Unlock()
	passedOver := r.passedOverHosts()
	answers := make(chan *yuccahinge.ChangeBatch, anyPeerCalls)
	calls := 0
	for i := range members {
		m := members[(first+i)%len(members)]
		if m.ID == string(r.Self) || m.PeerAddr == "" || calls == anyPeerCalls || slices.Contains(passedOver, yuccahinge.HostID(m.ID)) {
			continue
		}
		calls++
		go func() {
			// A peer that is down or still starting has no list. Other calls report its failure to the roster.
			b, _ := r.call(ctx, m.PeerAddr, &request{After: after.Revision, Epoch: after.Epoch, Any: true})
			answers <- b
		}()
	}
	var best *yuccahinge.ChangeBatch
	for range calls {
		if b := <-answers; b != nil && (best == nil || best.Position().Before(b.Position())) {
			best = b
		}
	}
	if best == nil {
		return nil, errNoList
	}
	return best, nil
}

// call requests changes from a host. A registration that can't be used is not taken over.
func (r *Relay) call(ctx context.Context, addr string, req *request) (*yuccahinge.ChangeBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, (req.WaitMs + callTimeoutMs).Duration())
	defer cancel()
	out := new(yuccahinge.ChangeBatch)
	if err := r.Peers.Call(ctx, addr, MethodSearchers, req, out); err != nil {
		return nil, err
	}
	for i := range out.Changes {
		c := &out.Changes[i]
		if c.Registration == nil {
			continue
		}
		if err := census.Check(c.Registration); err != nil {
			c.Registration, c.Problem = nil, err.Error()
		}
	}
	return out, nil
}
