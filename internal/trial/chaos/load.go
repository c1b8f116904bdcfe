package chaos

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"
)

// Load is what callers send and how much the searchers can serve. The zero value is a light load.
type Load struct {
	// Callers is the number of clients, each with at most one request in flight; zero means 8.
	Callers int
	// Pause is the longest pause of a caller between two requests; zero means 25 ms.
	Pause time.Duration
	// Deadline is the deadline of each request; zero means 800 ms.
	Deadline time.Duration
	// ServiceTime is the service time of a request at a searcher; zero means 4 ms.
	ServiceTime time.Duration
	// Slots is the number of requests that a searcher runs at a time; zero means 2.
	Slots int
}

const (
	defaultCallers     = 8
	defaultPause       = 25 * time.Millisecond
	defaultDeadline    = 800 * time.Millisecond
	defaultServiceTime = 4 * time.Millisecond
	defaultSlots       = 2
)

func (l *Load) callers() int { return cmp.Or(l.Callers, defaultCallers) }

func (l *Load) deadline() time.Duration { return cmp.Or(l.Deadline, defaultDeadline) }

func (l *Load) serviceTime() time.Duration { return cmp.Or(l.ServiceTime, defaultServiceTime) }

func (l *Load) slots() int { return cmp.Or(l.Slots, defaultSlots) }

func (l *Load) nextPause(r *rand.Rand) time.Duration {
	return time.Duration(r.Int64N(int64(cmp.Or(l.Pause, defaultPause))))
}

// Shape is the deployment whose form a run takes. The zero value is a small one.
type Shape struct {
	// Hosts is the number of entry hosts; zero means 4. Weak of them have a quarter of the cores of the others.
	Hosts, Weak int
	// Shards is the number of services of the wide route, with two searchers each; zero means 9.
	Shards int
	// Domains is the number of failure domains; zero means 2.
	Domains int
	// Slack is the number of extra attempts at a service that are allowed in a window besides its ratio; zero means 50.
	Slack float64
	// DrainGrace and DrainDeadline are the drain settings of the hosts; zero means 2.8 s and 5.5 s.
	DrainGrace, DrainDeadline time.Duration
}

const (
	defaultHosts         = 4
	defaultShards        = 9
	defaultDomains       = 2
	defaultSlack         = 50
	defaultDrainGrace    = 2800 * time.Millisecond
	defaultDrainDeadline = 5500 * time.Millisecond

	// extraRatio is the number of extra attempts that each request allows.
	extraRatio = 0.2
	// extraWindow is the window in which extra attempts are limited.
	extraWindow = 10 * time.Second

	// weakCores and strongCores are the cores that the settings of weak and of other hosts name, if there are weak ones.
	weakCores   = 0.192
	strongCores = 0.8
)

func (s *Shape) hosts() int { return cmp.Or(s.Hosts, defaultHosts) }

func (s *Shape) shards() int { return cmp.Or(s.Shards, defaultShards) }

func (s *Shape) slack() float64 { return cmp.Or(s.Slack, defaultSlack) }

func (s *Shape) drainDeadline() time.Duration { return cmp.Or(s.DrainDeadline, defaultDrainDeadline) }

// drain returns the drain settings.
func (s *Shape) drain() map[string]any {
	return map[string]any{
		"graceMs":    cmp.Or(s.DrainGrace, defaultDrainGrace).Milliseconds(),
		"deadlineMs": s.drainDeadline().Milliseconds(),
	}
}

// cores returns the cores of the i-th host, or zero if all hosts are equal and their settings name none. The strong hosts
// come first, so that each failure domain has some.
func (s *Shape) cores(i int) float64 {
	switch {
	case s.Weak == 0:
		return 0
	case i >= s.hosts()-s.Weak:
		return weakCores
	}
	return strongCores
}

// domain returns the name of the i-th failure domain, modulo their number.
func (s *Shape) domain(i int) string {
	return string(rune('a' + i%cmp.Or(s.Domains, defaultDomains)))
}

// replicaDomains returns the failure domains of a service's replicas. Two thirds of the shards have both replicas in one
// domain, so that hosts delegate parts of requests to each other.
func (s *Shape) replicaDomains(service int) []string {
	if service >= s.shards() || service%3 == 0 {
		return []string{s.domain(service), s.domain(service + 1)}
	}
	return []string{s.domain(service - 1), s.domain(service - 1)}
}

// services returns the names of the services: the shards, then those of the read route, then those of the other routes.
func (s *Shape) services() []string {
	var out []string
	for i := range s.shards() {
		out = append(out, fmt.Sprint("wide", i))
	}
	for i := range readServices {
		out = append(out, readService(int64(i)))
	}
	return append(out, "pay", longRead, longPay)
}

// readService returns the service to which the read route goes in a version of the configuration.
func readService(version int64) string { return fmt.Sprint("read", version%readServices) }
