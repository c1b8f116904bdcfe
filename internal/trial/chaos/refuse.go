package chaos

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/origin"
)

const (
	// refusalGrace is the time after an answer with Retry-After during which requests that are on their way may arrive.
	refusalGrace = 500 * time.Millisecond
	// maxDuringPause is the number of requests of one host that may arrive between refusalGrace after such an answer and
	// the end of its Retry-After.
	maxDuringPause = 2
	// maxLinkFault is longer than any disruption of a link, whose start and end are recorded.
	maxLinkFault = 3 * time.Second
)

// hostOf returns the name of the host that the caller of an attempt has sent its request to.
func hostOf(attempt string) string {
	_, name, _ := strings.Cut(attempt, "@")
	return name
}

// requestsByHost returns the arrivals of requests, without health checks, by the host that the caller called.
func requestsByHost(all []origin.Arrival) map[string][]origin.Arrival {
	out := make(map[string][]origin.Arrival)
	for _, a := range all {
		if a.Attempt != "" {
			out[hostOf(a.Attempt)] = append(out[hostOf(a.Attempt)], a)
		}
	}
	return out
}

// sentToLeaving returns how many of one host's requests arrived later than a time after its first one that was answered by
// the searcher as leaving.
func sentToLeaving(arrivals []origin.Arrival, after time.Duration) int {
	var first time.Time
	n := 0
	for _, a := range arrivals {
		switch {
		case first.IsZero() && a.Leaving:
			first = a.At
		case !first.IsZero() && a.At.Sub(first) > after:
			n++
		}
	}
	return n
}

// sentDuringPause returns the largest number of arrivals during the Retry-After of any one answer.
func sentDuringPause(arrivals []origin.Arrival) int {
	most := 0
	for i, a := range arrivals {
		seconds, err := strconv.ParseFloat(a.RetryAfter, 64)
		if err != nil {
			continue
		}
		n := 0
		for _, later := range arrivals[i+1:] {
			if d := later.At.Sub(a.At); d > refusalGrace && d.Seconds() < seconds {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// watch is the state of the hosts at the start of a check, to leave out those that are disrupted during it.
type watch struct {
	started      time.Time
	incarnations map[*host]int64
}

func (x *Experiment) newWatch() *watch {
	w := &watch{started: time.Now(), incarnations: make(map[*host]int64)}
	for _, h := range x.hosts {
		w.incarnations[h] = h.process.Load().incarnation
	}
	return w
}

// calmHosts returns the names of the hosts that ran all the while; none if the link of the searcher was disrupted.
func (w *watch) calmHosts(x *Experiment, s *searcher) []string {
	if at, ok := x.linksDisrupted.Load(&s.link); ok && at.(time.Time).After(w.started.Add(-maxLinkFault)) {
		return nil
	}
	var out []string
	for h, incarnation := range w.incarnations {
		if h.process.Load().incarnation == incarnation && h.process.Load().terminatedAt.Load() == 0 && h.disruptedAt.Load() < w.started.Add(-time.Second).UnixNano() {
			out = append(out, h.name)
		}
	}
	return out
}

// leaveInAnswers starts a searcher and lets the old one say in its answers only that it leaves; the store lists it as ready.
func (x *Experiment) leaveInAnswers(ctx context.Context, s *searcher, span time.Duration) {
	x.logf("%s of %s says in its answers that it leaves", s.server.ID, s.server.Service)
	if _, err := x.env.startSearcher(ctx, s.server.Service, s.domain); err != nil {
		return
	}
	w := x.newWatch()
	s.server.SetLeaving(true)
	go func() {
		sleep(ctx, drainTime+x.Load.deadline()+span)
		x.checkRefusals(w, s)
		x.env.removeSearcher(s)
	}()
}

// turnAway lets a searcher refuse all requests with Retry-After for a while.
func (x *Experiment) turnAway(ctx context.Context, s *searcher, span time.Duration) {
	seconds := strconv.FormatFloat(1+span.Seconds(), 'f', 2, 64)
	x.logf("%s of %s refuses requests with Retry-After %s", s.server.ID, s.server.Service, seconds)
	w := x.newWatch()
	s.server.SetRetryAfter(seconds)
	go func() {
		sleep(ctx, span)
		s.server.SetRetryAfter("")
		sleep(ctx, time.Second)
		x.checkRefusals(w, s)
	}()
}

// checkRefusals checks the requests of the calm hosts to a searcher of lookups. Parts of scattered requests may come from
// another host than the one that the caller called.
func (x *Experiment) checkRefusals(w *watch, s *searcher) {
	if strings.HasPrefix(s.server.Service, "wide") {
		return
	}
	byHost := requestsByHost(s.server.ArrivalLog())
	for _, name := range w.calmHosts(x, s) {
		if n := sentToLeaving(byHost[name], drainTime+x.Load.deadline()); n > 0 {
			x.checker.addViolation(fmt.Sprintf("host %s sent %d requests to %s more than %v after it said that it leaves", name, n, s.server.ID, drainTime))
		}
		if n := sentDuringPause(byHost[name]); n > maxDuringPause {
			x.checker.addViolation(fmt.Sprintf("host %s sent %d requests to %s during its Retry-After; allowed are %d", name, n, s.server.ID, maxDuringPause))
		}
	}
}
