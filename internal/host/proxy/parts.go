package proxy

import (
	"net/http"

	"github.com/yuccahinge/yuccahinge/coord"
	"github.com/yuccahinge/yuccahinge/crash"
	"github.com/yuccahinge/yuccahinge/depart"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/hedge"
	"github.com/yuccahinge/yuccahinge/hold"
	"github.com/yuccahinge/yuccahinge/internal/call/assess"
	"github.com/yuccahinge/yuccahinge/internal/call/conns"
	"github.com/yuccahinge/yuccahinge/internal/call/ended"
	"github.com/yuccahinge/yuccahinge/internal/call/reject"
	"github.com/yuccahinge/yuccahinge/internal/front/admit"
	"github.com/yuccahinge/yuccahinge/internal/front/assign"
	"github.com/yuccahinge/yuccahinge/internal/front/query"
	"github.com/yuccahinge/yuccahinge/internal/host/caps"
	"github.com/yuccahinge/yuccahinge/internal/host/kept"
	"github.com/yuccahinge/yuccahinge/internal/peers/peer"
	"github.com/yuccahinge/yuccahinge/internal/peers/pool"
	"github.com/yuccahinge/yuccahinge/internal/state/evac"
	"github.com/yuccahinge/yuccahinge/internal/state/relay"
	"github.com/yuccahinge/yuccahinge/internal/state/routes"
	"github.com/yuccahinge/yuccahinge/internal/state/stale"
	"github.com/yuccahinge/yuccahinge/internal/state/syncer"
	"github.com/yuccahinge/yuccahinge/internal/state/warmup"
	"github.com/yuccahinge/yuccahinge/internal/state/watch"
	"github.com/yuccahinge/yuccahinge/picker"
	"github.com/yuccahinge/yuccahinge/quota"
	"github.com/yuccahinge/yuccahinge/ration"
	"github.com/yuccahinge/yuccahinge/share"
	"github.com/yuccahinge/yuccahinge/slack"
)

// ring holds the recent events of this host.
type ring = event.Ring

// parts are the components of the host.
type parts struct {
	pool       pool.Pool
	peers      peer.Server
	syncer     syncer.Syncer
	watcher    watch.Watcher
	relay      relay.Relay
	routeTable routes.Table

	engine   query.Engine
	conns    conns.Pool
	admit    admit.Controller
	assign   assign.Assigner
	selector coord.Selector
	balancer picker.Balancer
	// capacity has estimates only if the balancer uses it.
	capacity assess.Estimator
	limits   ration.Limiter
	// departures tracks the searchers that say that they leave.
	departures depart.Tracker
	// stale holds the searchers that the list of searchers no longer has as ready.
	stale stale.Set
	// evacuations tracks the failure domains whose searchers must get no requests.
	evacuations evac.Tracker
	// holds tracks the searchers that want no requests from this host for a time.
	holds hold.Tracker
	// warmups tracks the searchers that are cold.
	warmups warmup.Tracker
	// troubles tracks the searchers that reject requests without load.
	troubles reject.Tracker
	hedge    hedge.Policy
	quota    quota.Quota
	crashes  crash.Tracker
	ended    ended.Detector
	share    share.Allocator
	slack    slack.Divider

	callers   *http.Server
	ready     *http.Server
	operators *http.Server

	// caps bounds what clients take.
	caps caps.Caps
	// callerConns holds the connections of callers.
	callerConns kept.Conns
}
