package chart

import (
	"math"

	"github.com/yuccahinge/yuccahinge"
)

// demandHalfMs is the age at which a request has lost half its weight in a Demand.
const demandHalfMs = 5 * yuccahinge.Second

// unasked is the weight of a route that nobody has asked for, far under that of one request.
const unasked = 0.001

// Demand follows which routes the requests of a host ask for. The zero value is ready to use. It is not safe for
// concurrent use.
type Demand struct {
	at     yuccahinge.Millis
	routes map[yuccahinge.RouteName]weighed
}

// weighed is the requests of one route, old ones with less weight.
type weighed struct {
	picks  uint64
	weight float64
}

// Observe takes the requests that the routes have had since the last call.
func (d *Demand) Observe(now yuccahinge.Millis, entries []*Entry) {
	decay := math.Exp2(-float64((now - d.at) / demandHalfMs))
	next := make(map[yuccahinge.RouteName]weighed, len(entries))
	for _, e := range entries {
		old := d.routes[e.Route.Name]
		picks := e.Picks()
		next[e.Route.Name] = weighed{picks: picks, weight: old.weight*decay + float64(picks-old.picks)}
	}
	d.at = now
	d.routes = next
}

// Mean returns the mean of a value of the routes, each counted by its requests. A host without requests counts all routes
// alike.
func (d *Demand) Mean(entries []*Entry, value func(e *Entry) float64) float64 {
	all, sum := 0.0, 0.0
	for _, e := range entries {
		w := d.routes[e.Route.Name].weight + unasked
		all += w
		sum += w * value(e)
	}
	if all == 0 {
		return 1
	}
	return sum / all
}
