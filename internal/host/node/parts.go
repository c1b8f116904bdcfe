package node

import (
	"net/http"

	"github.com/yuccahinge/yuccahinge/internal/call/submit"
	"github.com/yuccahinge/yuccahinge/internal/front/charge"
	"github.com/yuccahinge/yuccahinge/internal/front/entry"
	"github.com/yuccahinge/yuccahinge/internal/host/tier"
	"github.com/yuccahinge/yuccahinge/internal/peers/peer"
	"github.com/yuccahinge/yuccahinge/internal/peers/pool"
	"github.com/yuccahinge/yuccahinge/internal/state/keeper"
	"github.com/yuccahinge/yuccahinge/internal/state/mirror"
)

// parts are the components of the host.
type parts struct {
	source    mirror.Mirror
	pool      pool.Pool
	peers     peer.Server
	keeper    keeper.Keeper
	tier      tier.Tier
	once      submit.Client
	desk      charge.Coordinator
	front     entry.Server
	callers   *http.Server
	operators *http.Server
}
