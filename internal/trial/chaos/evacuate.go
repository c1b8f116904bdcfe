package chaos

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// evacuateTime is the time within which an evacuation is in force.
const evacuateTime = 5 * time.Second

// evacuation is a failure domain that was evacuated from one instant, at which the store had acknowledged it, to another.
type evacuation struct {
	domain   string
	from, to time.Time
}

// evacuateDomains evacuates one failure domain or more for a while, in some rounds the last one too, while hosts are killed and paused,
// and the store is away or comes back from a copy that lacks the evacuations.
func (x *Experiment) evacuateDomains(ctx context.Context) {
	saved := x.env.store.Copy()
	domains := []string{x.Shape.domain(x.rand.IntN(len(x.hosts)))}
	if x.rand.IntN(3) == 0 {
		domains = append(domains, x.Shape.domain(x.rand.IntN(len(x.hosts))))
	}
	for _, d := range domains {
		x.beginEvacuation(d)
		sleep(ctx, x.between(0, time.Second))
	}
	sleep(ctx, contactTime)
	for range 3 {
		h := x.hosts[x.rand.IntN(len(x.hosts))]
		span := x.between(500*time.Millisecond, 2*time.Second)
		switch x.rand.IntN(4) {
		case 0:
			x.onHost(h, "kill", func() { h.restart(ctx, syscall.SIGKILL, 0) })
		case 1:
			x.onHost(h, "pause", func() { x.pauseHost(ctx, h, span) })
		case 2:
			x.logf("the store is away for %v", span)
			x.env.store.SetDown(true)
			sleep(ctx, span)
			x.env.store.SetDown(false)
		default:
			x.logf("the store comes back from a copy without the evacuations")
			x.env.store.Restore(saved)
			x.env.dropSilentEntries()
			sleep(ctx, span)
			x.env.publishConfig()
			for _, d := range domains {
				x.env.store.PutEvacuation(d)
			}
			saved = x.env.store.Copy()
		}
		sleep(ctx, x.between(500*time.Millisecond, time.Second))
	}
	sleep(ctx, x.between(2*time.Second, 4*time.Second))
	for _, d := range domains {
		x.endEvacuation(d)
		sleep(ctx, x.between(0, time.Second))
	}
	sleep(ctx, applyTime)
}

func (x *Experiment) beginEvacuation(domain string) {
	x.env.store.PutEvacuation(domain)
	x.logf("evacuate %s", domain)
	x.env.mu.Lock()
	defer x.env.mu.Unlock()
	x.env.evacuations = append(x.env.evacuations, evacuation{domain: domain, from: time.Now()})
}

func (x *Experiment) endEvacuation(domain string) {
	x.env.mu.Lock()
	for i := range x.env.evacuations {
		if v := &x.env.evacuations[i]; v.domain == domain && v.to.IsZero() {
			v.to = time.Now()
		}
	}
	x.env.mu.Unlock()
	x.env.store.EndEvacuation(domain)
	x.logf("end the evacuation of %s", domain)
}

// checkEvacuations reports the searchers that got requests or health checks while the evacuation of their domain had to be in force.
func (x *Experiment) checkEvacuations() {
	x.env.mu.Lock()
	defer x.env.mu.Unlock()
	for _, s := range append(x.env.removed, x.env.searchers...) {
		arrivals := s.server.Arrivals()
		for _, v := range x.env.evacuations {
			if n := v.lateArrivals(s.domain, arrivals); n > 0 {
				x.checker.addViolation(fmt.Sprintf("searcher %s of %s got %d requests over %v after the evacuation of %s", s.server.ID, s.server.Service, n, evacuateTime, v.domain))
			}
		}
	}
}

// lateArrivals counts the arrivals at a searcher of a domain that the evacuation forbids.
func (v *evacuation) lateArrivals(domain string, arrivals []time.Time) int {
	n := 0
	for _, at := range arrivals {
		if domain == v.domain && at.After(v.from.Add(evacuateTime)) && (v.to.IsZero() || at.Before(v.to)) {
			n++
		}
	}
	return n
}
