package evac

import "github.com/yuccahinge/yuccahinge"

// Mask returns a list of searchers in which those of evacuated domains are draining. It does not change the given list, and returns it
// if no domain is evacuated.
func (t *Tracker) Mask(services map[yuccahinge.ServiceName][]*yuccahinge.Registration) map[yuccahinge.ServiceName][]*yuccahinge.Registration {
	p := t.inForce.Load()
	if p == nil || services == nil {
		return services
	}
	evacuated := *p
	out := make(map[yuccahinge.ServiceName][]*yuccahinge.Registration, len(services))
	for name, all := range services {
		masked := make([]*yuccahinge.Registration, len(all))
		for i, r := range all {
			if evacuated[r.Domain] && !r.Draining {
				draining := *r
				draining.Draining = true
				r = &draining
			}
			masked[i] = r
		}
		out[name] = masked
	}
	return out
}
