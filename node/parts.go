package node

import (
	"net/http"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/budget"
	"github.com/yuccahinge/yuccahinge/charge"
	"github.com/yuccahinge/yuccahinge/entry"
	"github.com/yuccahinge/yuccahinge/hedge"
	"github.com/yuccahinge/yuccahinge/keeper"
	"github.com/yuccahinge/yuccahinge/leave"
	"github.com/yuccahinge/yuccahinge/limit"
	"github.com/yuccahinge/yuccahinge/mirror"
	"github.com/yuccahinge/yuccahinge/once"
	"github.com/yuccahinge/yuccahinge/peer"
	"github.com/yuccahinge/yuccahinge/poison"
	"github.com/yuccahinge/yuccahinge/pool"
	"github.com/yuccahinge/yuccahinge/query"
	"github.com/yuccahinge/yuccahinge/ready"
	"github.com/yuccahinge/yuccahinge/route"
	"github.com/yuccahinge/yuccahinge/search"
	"github.com/yuccahinge/yuccahinge/share"
)

const (
	// retryShare is the number of retries that one first attempt earns.
	retryShare = 0.1
	// hedgeShare is the number of hedges that one first attempt earns.
	hedgeShare = 0.05
)

// parts are what the node wires together.
type parts struct {
	source    mirror.Mirror
	pool      pool.Pool
	peers     peer.Server
	keeper    keeper.Keeper
	leave     leave.Leave
	ready     ready.Ready
	route     route.Route
	hedge     hedge.Hedge
	poison    poison.Poison
	limit     limit.Limit
	retries   budget.Budget
	hedges    budget.Budget
	share     share.Share
	searchers search.Client
	engine    query.Engine
	once      once.Client
	desk      charge.Desk
	front     entry.Front
	callers   *http.Server
	operators *http.Server
}

// draining reports whether a searcher must get no new work, by its own word or that of others.
func (p *parts) draining(id yuccahinge.SearcherID) bool {
	return p.leave.Leaving(id) || p.keeper.Draining(id)
}
