package ticket

import (
	"math"
	"strings"

	"github.com/yuccahinge/yuccahinge"
)

// checkRouting returns an error for the first invalid value in a routing. A nil routing is valid.
func checkRouting(r *yuccahinge.Routing) error {
	if r == nil {
		return nil
	}
	for _, route := range r.Routes {
		if err := checkRoute(route); err != nil {
			return err
		}
	}
	return nil
}

func checkRoute(r *yuccahinge.Route) error {
	if r == nil {
		return invalid("routing.routes", "null is not a route")
	}
	path := "routing.routes." + string(r.Name)
	switch {
	case r.Name == "":
		return invalid("routing.routes", "a route has no name")
	case !strings.HasPrefix(r.Prefix, "/"):
		return invalid(path+".prefix", "%q does not begin with a slash", r.Prefix)
	case r.RetrySafety != yuccahinge.Idempotent && r.RetrySafety != yuccahinge.AtMostOnce:
		return invalid(path+".repeat", "%q is not idempotent or atMostOnce", r.RetrySafety)
	case len(r.Shards) > 0 && len(r.Weighted) > 0:
		return invalid(path, "both shards and weighted are set")
	case r.IsScattered() && r.RetrySafety != yuccahinge.Idempotent:
		return invalid(path+".repeat", "a scattered request runs on many searchers, so it must be idempotent")
	case !(r.MinCoverage >= 0 && r.MinCoverage <= 1):
		return invalid(path+".leastShare", "%g is not between 0 and 1", r.MinCoverage)
	}
	for _, w := range r.Weighted {
		if !(w.Weight >= 0) || math.IsInf(w.Weight, 0) {
			return invalid(path+".weighted", "the weight %g of %s is not a finite number of at least 0", w.Weight, w.Service)
		}
	}
	return checkMillis(path+".timeoutMs", r.TimeoutMs, maxDeadline)
}
