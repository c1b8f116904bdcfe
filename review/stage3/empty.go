package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case empty: a route goes to one shard and names no least share of shards. All searchers of that shard fall silent for a while, as in the
// list of troubles of the site kontspis-hladanie ("dark all"). Another route goes to all shards and needs most of them.
const (
	// darkShard is the position of the shard whose searchers fall silent.
	darkShard = 2
	// emptyCalm is how long requests come before the searchers fall silent, and after they are back.
	emptyCalm = 6 * time.Second
	// darkFor is that of the site.
	darkFor = 4500 * time.Millisecond
	// lapseAfter is after how many heartbeats of silence the store drops an entry.
	lapseAfter = 3
	// emptyPause is the time between two requests of each kind.
	emptyPause = 60 * time.Millisecond
	// emptyWait is how long a client waits for an answer.
	emptyWait     = 2 * time.Second
	emptyDeadline = "600"
)

// headerParts names the signatures of the parts of an answer.
const headerParts = "Yuccahinge-Part-Stamps"

// tally counts the answers to one kind of request.
type tally struct{ sent, ok, wrong, failed atomic.Int64 }

func playEmpty(ctx context.Context, s *system, trouble bool) (bool, error) {
	var shards []string
	for i := range deskShards {
		name := fmt.Sprintf("desk-%d", i)
		shards = append(shards, name)
		if err := s.addService(ctx, &searcher{service: name, slots: 2, work: sweepWork, records: sweepRecords}, 26, "kosice", "presov"); err != nil {
			return false, err
		}
	}
	s.addSweep("sweep", shards)
	s.addSweep("town", shards[darkShard:darkShard+1])
	s.routes[1]["min_share"] = 0
	s.putConfig(1)
	go s.beat(ctx)
	if err := s.startHosts(ctx, siteZones()); err != nil {
		return false, err
	}
	sleep(ctx, settleFor)
	calls, stop := context.WithCancel(ctx)
	var all, town tally
	var clients sync.WaitGroup
	clients.Go(func() { s.ask(calls, "sweep", shards, &all) })
	clients.Go(func() { s.ask(calls, "town", shards[darkShard:darkShard+1], &town) })
	sleep(ctx, emptyCalm)
	if trouble {
		s.darken(ctx, shards[darkShard])
	}
	sleep(ctx, emptyCalm)
	stop()
	clients.Wait()
	for _, t := range []struct {
		name string
		*tally
	}{{"sweep", &all}, {"town", &town}} {
		s.record.printf("%s: %d requests, %d good successes, %d successes that name no part or one that is no signature for the request, %d failures",
			t.name, t.sent.Load(), t.ok.Load(), t.wrong.Load(), t.failed.Load())
	}
	return all.wrong.Load()+town.wrong.Load() > 0, nil
}

// darken makes the searchers of a service silent for darkFor. The store drops their entries meanwhile.
func (s *system) darken(ctx context.Context, service string) {
	for _, one := range s.searchers {
		if one.service == service {
			one.isDark.Store(true)
		}
	}
	s.record.printf("the searchers of %s fall silent", service)
	sleep(ctx, lapseAfter*heartbeat)
	for _, one := range s.searchers {
		if one.service == service {
			s.store.Delete("servers/" + one.id)
		}
	}
	s.record.printf("the store drops their entries")
	sleep(ctx, darkFor-lapseAfter*heartbeat)
	for _, one := range s.searchers {
		one.isDark.Store(false)
	}
	s.record.printf("they are back")
}

// ask sends requests on a route to one host after the other until ctx ends.
func (s *system) ask(ctx context.Context, route string, shards []string, t *tally) {
	var calls sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		h := s.hosts[n%len(s.hosts)]
		id := fmt.Sprintf("%s-%d", route, n)
		t.sent.Add(1)
		calls.Go(func() { s.askOne(h, route, id, shards, t) })
		sleep(ctx, emptyPause)
	}
	calls.Wait()
}

func (s *system) askOne(h *host, route, id string, shards []string, t *tally) {
	client := http.Client{Timeout: emptyWait, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodGet, "http://"+h.callers+"/"+route+"/x", nil)
	if err != nil {
		panic(err) // unreachable: the address is that of a listener
	}
	r.Host = hostName
	r.Header.Set(headerAttempt, id)
	r.Header.Set(headerDeadline, emptyDeadline)
	resp, err := client.Do(r)
	if err != nil {
		t.failed.Add(1)
		s.record.printf("%s to %s: %v", id, h.name, err)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	stamps := resp.Header.Values(headerParts)
	switch {
	case err != nil || resp.StatusCode != http.StatusOK:
		t.failed.Add(1)
		s.record.printf("%s to %s: %s, %v", id, h.name, resp.Status, err)
	case !areParts(strings.Join(stamps, ","), id, shards):
		t.wrong.Add(1)
		s.record.printf("%s to %s: %s with %s %q and a body of %d bytes", id, h.name, resp.Status, headerParts, stamps, len(body))
	default:
		t.ok.Add(1)
	}
}

// areParts reports whether a list has at least one entry, and each is a signature for the request by a searcher of one of the shards.
func areParts(list, id string, shards []string) bool {
	for entry := range strings.SplitSeq(list, ",") {
		entry = strings.TrimSpace(entry)
		service, rest, _ := strings.Cut(entry, ".")
		name, _, _ := strings.Cut(rest, ".")
		if !slices.Contains(shards, service) || entry != (&searcher{service: service, id: name}).stamp(id) {
			return false
		}
	}
	return true
}
