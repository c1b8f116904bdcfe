package storm

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/part"
)

// backTime is how long after a newer configuration was seen an older one may still show on the same process.
const backTime = 250 * time.Millisecond

// maxViolations bounds what a report lists.
const maxViolations = 20

// ledger keeps what callers saw.
type ledger struct {
	mu         sync.Mutex
	total      Report
	refused    []string // attempts that were said not to have run
	once       []string // attempts that may run once at most
	seen       map[string]sight
	violations []string
}

// sight is the newest configuration that one life of a host has shown.
type sight struct {
	version int64
	at      time.Time
}

func (l *ledger) add(a *answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total.Requests++
	if a.route == "pay" {
		l.once = append(l.once, a.attempt)
	}
	switch {
	case a.err != nil || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout:
		l.total.Failed++
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
		l.total.Refused++
		l.refused = append(l.refused, a.attempt)
	default:
		l.total.Answered++
	}
}

func (l *ledger) violate(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, what)
}

// follow checks that a process does not step back to an older configuration. The service that ran the request tells
// the version but for multiples of generations.
func (l *ledger) follow(host string, life int64, sent time.Time, service string, newest int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	generation, err := strconv.ParseInt(strings.TrimPrefix(service, "read"), 10, 64)
	if err != nil {
		l.violations = append(l.violations, "a read request ran at "+service)
		return
	}
	if l.seen == nil {
		l.seen = make(map[string]sight)
	}
	key := fmt.Sprint(host, "/", life)
	old := l.seen[key]
	version := old.version + ((generation-old.version)%generations+generations)%generations
	switch {
	case version <= newest:
		if version > old.version {
			l.seen[key] = sight{version, time.Now()}
		}
	case sent.After(old.at.Add(backTime)):
		l.violations = append(l.violations, fmt.Sprintf("host %s showed configuration %d and then an older one at %s", key, old.version, service))
	}
}

// report checks what can be told only at the end.
func (l *ledger) report(runs *part.Log) *Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, attempt := range l.refused {
		if n := runs.Runs(attempt); n > 0 {
			l.violations = append(l.violations, fmt.Sprintf("request %s was said not to have run and ran %d times", attempt, n))
		}
	}
	for _, attempt := range l.once {
		if n := runs.Runs(attempt); n > 1 {
			l.violations = append(l.violations, fmt.Sprintf("request %s may run once and ran %d times", attempt, n))
		}
	}
	r := l.total
	r.Violations = l.violations[:min(len(l.violations), maxViolations)]
	return &r
}
