package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/store"
)

func init() { scenarios["twice"] = playTwice }

// The case TWICE: every replaceEvery a searcher of the service archive crashes for good, and after reuseAfter a searcher of the service
// enrolment starts at its address. For garbleFor that one sends a second answer, late, after extraShare of its answers.
const (
	twiceRate    = 40 // requests a second to each of the two services
	twiceLength  = 80 * time.Second
	replaceEvery = 6 * time.Second
	reuseAfter   = 2 * time.Second
	garbleFor    = 5 * time.Second
	extraShare   = 0.04
	// perService is the number of searchers of each service at the start, and replaced how many of the service archive end at a time.
	perService, replaced = 8, 2
	// mostEnrolment is the number of searchers of the service enrolment above which the oldest leave.
	mostEnrolment = 6
	enrolBody     = "enrol"
)

// twice is the state of the case.
type twice struct {
	*system

	mu sync.Mutex
	// runs holds the searchers that ran each request to the service enrolment, refused those answered 503.
	runs    map[string][]string
	refused map[string]bool
	started int
	// archive and enrolment hold the searchers of the services that were not replaced and did not leave, the oldest first.
	archive, enrolment []*searcher
	garbled            []*extras
}

func playTwice(ctx context.Context, r *record, trouble bool) error {
	s, err := newSystem(ctx, r)
	if err != nil {
		return err
	}
	defer s.end()
	t := &twice{system: s, runs: make(map[string][]string), refused: make(map[string]bool)}
	for range perService {
		for _, service := range [...]string{"archive", "enrolment"} {
			if _, err := t.add(service, s.anyAddr(), false); err != nil {
				return err
			}
		}
	}
	s.db.PutLimitedConfig(7, []store.Route{
		{Name: "enrol", Host: callerHost, Prefix: "/enrol/", Service: "enrolment", AtMostOnce: true, TimeoutMs: 2000, ObjectiveMs: 400, Attempts: 2},
		{Name: "fetch", Host: callerHost, Prefix: "/fetch/", Service: "archive", TimeoutMs: 2000, ObjectiveMs: 400, Attempts: 2},
	}, []string{"enrolment", "archive"}, serviceConns, callerLimits())
	s.addHosts("kosice", "presov", "kosice", "presov", "kosice", "presov")
	if err := s.startAll(ctx); err != nil {
		return err
	}
	sleep(ctx, settle)
	run, cancel := context.WithTimeout(ctx, twiceLength)
	defer cancel()
	failed := make(chan error, 1)
	if trouble {
		go func() { failed <- t.replaceAll(run) }()
	} else {
		failed <- nil
	}
	t.sendAll(ctx, run)
	if err := <-failed; err != nil {
		return err
	}
	sleep(ctx, settle)
	return t.judge()
}

// add starts a searcher.
func (t *twice) add(service, addr string, garbles bool) (*searcher, error) {
	t.mu.Lock()
	t.started++
	n := t.started
	t.mu.Unlock()
	sr := &searcher{ID: fmt.Sprintf("i-%03d", n), Service: service, Zone: []string{"kosice", "presov"}[n%2], Slots: 4, Queue: 16, Work: 30 * time.Millisecond}
	if service == "enrolment" {
		sr.OnRun = func(a *arrival) { t.recordRun(sr, a) }
	}
	if garbles {
		sr.extras = newExtras(uint64(n))
		time.AfterFunc(garbleFor, sr.extras.end)
	}
	t.mu.Lock()
	if service == "archive" {
		t.archive = append(t.archive, sr)
	} else {
		t.enrolment = append(t.enrolment, sr)
	}
	if garbles {
		t.garbled = append(t.garbled, sr.extras)
	}
	t.mu.Unlock()
	return sr, t.addSearcher(sr, addr)
}

func (t *twice) recordRun(sr *searcher, a *arrival) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[a.id] = append(t.runs[a.id], sr.ID)
	t.record.add("%s runs %s (run %d of it)", sr.ID, a.id, len(t.runs[a.id]))
}

// replaceAll replaces searchers of the service archive again and again. Others start elsewhere, so that their number stays.
func (t *twice) replaceAll(run context.Context) error {
	for run.Err() == nil {
		old := take(&t.mu, &t.archive, replaced)
		for _, sr := range old {
			t.crash(sr)
		}
		sleep(run, reuseAfter)
		if run.Err() != nil {
			return nil
		}
		for _, sr := range old {
			if _, err := t.add("enrolment", sr.addr, true); err != nil {
				return err
			}
			if _, err := t.add("archive", t.anyAddr(), false); err != nil {
				return err
			}
		}
		t.mu.Lock()
		excess := len(t.enrolment) - mostEnrolment
		t.mu.Unlock()
		for _, sr := range take(&t.mu, &t.enrolment, excess) {
			t.leave(sr)
		}
		sleep(run, replaceEvery-reuseAfter)
	}
	return nil
}

// take removes the first n searchers of a list and returns them.
func take(mu *sync.Mutex, list *[]*searcher, n int) []*searcher {
	mu.Lock()
	defer mu.Unlock()
	out := (*list)[:max(0, n)]
	*list = (*list)[max(0, n):]
	return out
}

// sendAll sends requests to both services until run ends, and waits for the answers.
func (t *twice) sendAll(ctx, run context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; run.Err() == nil; n++ {
		h := t.hosts[n%len(t.hosts)]
		for _, c := range [...]*call{
			{method: http.MethodPost, path: "/enrol/a", body: []byte(enrolBody)},
			{method: http.MethodGet, path: "/fetch/a"},
		} {
			c.id, c.deadline = newAttempt(), 2*time.Second
			wg.Go(func() { t.send(ctx, h, c) })
		}
		sleep(run, time.Second/twiceRate)
	}
}

func (t *twice) send(ctx context.Context, h *host, c *call) {
	a, err := c.send(ctx, h.front())
	if c.method != http.MethodPost {
		return
	}
	if err != nil {
		t.record.add("%s %s: %v", h.name, c.id, err)
		return
	}
	t.record.add("%s answers %s: %d", h.name, c.id, a.status)
	if a.status == http.StatusServiceUnavailable {
		t.mu.Lock()
		t.refused[c.id] = true
		t.mu.Unlock()
	}
}

// judge returns errBroken if a request ran twice, or was answered 503 and has run.
func (t *twice) judge() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	more, untrue, extra := 0, 0, 0
	for id, by := range t.runs {
		if len(by) > 1 {
			more++
			t.record.say("TWICE: %s ran %d times, at %v", id, len(by), by)
		}
		if t.refused[id] {
			untrue++
			t.record.say("REFUSED: %s was answered 503 and has run, at %v", id, by)
		}
	}
	for _, e := range t.garbled {
		extra += e.sentLate()
	}
	t.record.say("%d unsafe requests ran; %d second answers", len(t.runs), extra)
	if more+untrue > 0 {
		return fmt.Errorf("%w: %d unsafe requests ran more than once, %d were answered 503 and have run", errBroken, more, untrue)
	}
	return nil
}
