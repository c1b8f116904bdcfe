package node

import (
	"net/http"

	"github.com/yuccahinge/yuccahinge/charge"
	"github.com/yuccahinge/yuccahinge/entry"
	"github.com/yuccahinge/yuccahinge/keeper"
	"github.com/yuccahinge/yuccahinge/mirror"
	"github.com/yuccahinge/yuccahinge/once"
	"github.com/yuccahinge/yuccahinge/peer"
	"github.com/yuccahinge/yuccahinge/pool"
	"github.com/yuccahinge/yuccahinge/tier"
)

// parts are what the node wires together.
type parts struct {
	source    mirror.Mirror
	pool      pool.Pool
	peers     peer.Server
	keeper    keeper.Keeper
	tier      tier.Tier
	once      once.Client
	desk      charge.Desk
	front     entry.Front
	callers   *http.Server
	operators *http.Server
}
