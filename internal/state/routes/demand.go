package routes

import (
	"math"

	"github.com/yuccahinge/yuccahinge"
)

// demandHalfMs is the half-life of a request's weight in a Demand.
const demandHalfMs = 5 * yuccahinge.Second

// minWeight is added to the weight of each route, so that the routes of a host without requests count equally. It is
// far below the weight of one request.
const minWeight = 0.001

// Demand tracks how the requests of a host are distributed over its routes, with exponential decay. The zero value is
// ready to use. It is not safe for concurrent use.
type Demand struct {
	observedAt yuccahinge.Millis
	routes     map[yuccahinge.RouteName]routeDemand
}

// routeDemand is the request count of a route at the last observation, and its decayed weight.
type routeDemand struct {
	requests uint64
	weight   float64
}

// Observe adds the requests that the routes received since the last call, and decays earlier ones.
func (d *Demand) Observe(now yuccahinge.Millis, entries []*Entry) {
	decay := math.Exp2(-float64((now - d.observedAt) / demandHalfMs))
	next := make(map[yuccahinge.RouteName]routeDemand, len(entries))
	for _, e := range entries {
		last := d.routes[e.Route.Name]
		requests := e.Requests()
		next[e.Route.Name] = routeDemand{requests: requests, weight: last.weight*decay + float64(requests-last.requests)}
	}
	d.observedAt = now
	d.routes = next
}

// Mean returns the mean of value over the routes, weighted by their requests. Without requests all routes count
// equally; without routes the mean is 1.
func (d *Demand) Mean(entries []*Entry, value func(e *Entry) float64) float64 {
	total, sum := 0.0, 0.0
	for _, e := range entries {
		w := d.routes[e.Route.Name].weight + minWeight
		total += w
		sum += w * value(e)
	}
	if total == 0 {
		return 1
	}
	return sum / total
}
