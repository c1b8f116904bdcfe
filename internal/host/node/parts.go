package node

import (
	"net/http"

	"github.com/yuccahinge/yuccahinge/internal/call/submit"
	"github.com/yuccahinge/yuccahinge/internal/front/charge"
	"github.com/yuccahinge/yuccahinge/internal/front/entry"
	"github.com/yuccahinge/yuccahinge/internal/host/caps"
	"github.com/yuccahinge/yuccahinge/internal/host/fanout"
	"github.com/yuccahinge/yuccahinge/internal/host/kept"
	"github.com/yuccahinge/yuccahinge/internal/peers/peer"
	"github.com/yuccahinge/yuccahinge/internal/peers/pool"
	"github.com/yuccahinge/yuccahinge/internal/state/multi"
	"github.com/yuccahinge/yuccahinge/internal/state/syncer"
)

// parts are the components of the host.
type parts struct {
	source    multi.Source
	pool      pool.Pool
	peers     peer.Server
	syncer    syncer.Syncer
	fanout    fanout.Fanout
	submitter submit.Client
	charges   charge.Coordinator
	entry     entry.Server
	callers   *http.Server
	operators *http.Server

	// caps bounds what clients take.
	caps caps.Caps
	// callerConns holds the connections of callers.
	callerConns kept.Conns
}
