package chaos

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/origin"
)

// staleVersionWindow is how long a process may still use an older configuration after a caller saw a newer one on it.
const staleVersionWindow = 250 * time.Millisecond

// maxViolations bounds the number of violations in a report.
const maxViolations = 20

// checker records the answers that callers received and checks invariants across them.
type checker struct {
	mu           sync.Mutex
	total        Report
	notRun       []string // attempts that were answered with 429 or 503 and so must not have run
	atMostOnce   []string // attempts that may run at most once
	lastVersions map[string]observedVersion
	violations   []string
	losses       []loss
}

// observedVersion is the newest configuration version that callers have seen on one process of a host, and when.
type observedVersion struct {
	version int64
	at      time.Time
}

// record records an answer. Probes count in no total: they begin before the hosts know the configuration.
func (c *checker) record(a *answer, isProbe bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := &c.total
	if isProbe {
		total = new(Report)
	}
	total.Requests++
	if strings.HasPrefix(a.route, "pay") || a.route == longPay {
		c.atMostOnce = append(c.atMostOnce, a.attempt)
	}
	switch {
	case a.err != nil || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout:
		total.Failed++
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
		total.Refused++
		c.notRun = append(c.notRun, a.attempt)
	default:
		total.Answered++
	}
}

func (c *checker) addViolation(violation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, violation)
}

// checkVersion checks that a process does not return to an older configuration. The service that ran the request gives
// the configuration version modulo readServices: a version that is not below the last one seen, but above the newest one
// published, means an older configuration.
func (c *checker) checkVersion(host string, incarnation int64, sent time.Time, service string, newest int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	serviceIndex, err := strconv.ParseInt(strings.TrimPrefix(service, "read"), 10, 64)
	if err != nil {
		c.violations = append(c.violations, "a read request ran at service "+service)
		return
	}
	if c.lastVersions == nil {
		c.lastVersions = make(map[string]observedVersion)
	}
	process := fmt.Sprint(host, "/", incarnation)
	old := c.lastVersions[process]
	version := old.version + ((serviceIndex-old.version)%readServices+readServices)%readServices
	switch {
	case version <= newest:
		if version > old.version {
			c.lastVersions[process] = observedVersion{version, time.Now()}
		}
	case sent.After(old.at.Add(staleVersionWindow)):
		c.violations = append(c.violations, fmt.Sprintf(
			"host %s used configuration %d and then an older one, which routes to %s", process, old.version, service,
		))
	}
}

// report checks the invariants on the number of runs, which are known only after all requests have ended.
func (c *checker) report(runs *origin.RunLog) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.total
	violations := slices.Clone(c.violations)
	for _, attempt := range c.notRun {
		if n := runs.Runs(attempt); n > 0 {
			violations = append(violations, fmt.Sprintf("request %s was answered as not run but ran %d times", attempt, n))
		}
	}
	for _, attempt := range c.atMostOnce {
		if n := runs.Runs(attempt); n > 1 {
			violations = append(violations, fmt.Sprintf("request %s may run at most once but ran %d times", attempt, n))
		}
	}
	for _, l := range c.losses {
		wasSent := runs.Arrivals(l.attempt) > 0
		if wasSent && !l.terminated.IsZero() && l.sent.After(l.terminated) {
			r.Draining++
		}
		if violation := l.violation(wasSent); violation != "" {
			r.Lost++
			violations = append(violations, l.String()+" "+violation)
		}
	}
	r.Violations = violations[:min(len(violations), maxViolations)]
	return &r
}
