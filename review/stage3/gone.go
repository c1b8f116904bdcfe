package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// The case gone: clients of one zone close their connections early, while some searchers hold some requests.
const (
	deskShards = 20
	// leaveWithin is half of the objective of the route, and leaveShare the share of the clients of one zone that leave by then.
	leaveWithin, leaveShare = 50 * time.Millisecond, 0.3
	leaveZone               = "poprad"
	// One searcher of hangEvery holds hangShare of its requests without an answer.
	hangEvery, hangShare = 8, 0.4
	// tooLong is how long after its client has left a request may be worked on, and slack what the check allows beyond it.
	tooLong, slack = 500 * time.Millisecond, 20 * time.Millisecond
	// fewRuns is a number of runs of which none breaks the rule.
	fewRuns = 3
	// The trouble comes goneTimes times and lasts for goneFor, with a pause after it.
	goneTimes, goneFor, gonePause = 8, 5 * time.Second, 2 * time.Second
	requestEvery                  = 9 * time.Millisecond
)

// leaving holds when the clients of requests left, by the ids of their attempts.
type leaving struct {
	mu   sync.Mutex
	left map[string]time.Time
}

func (l *leaving) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.left == nil {
		l.left = make(map[string]time.Time)
	}
	l.left[id] = time.Now()
}

func playGone(ctx context.Context, s *system, trouble bool) (bool, error) {
	log := new(runLog)
	var shards []string
	for i := range deskShards {
		name := fmt.Sprintf("desk-%d", i)
		shards = append(shards, name)
		if err := s.addService(ctx, &searcher{service: name, slots: 2, work: sweepWork, records: sweepRecords, log: log}, 26, "kosice", "presov"); err != nil {
			return false, err
		}
	}
	s.addSweep("sweep", shards)
	s.putConfig(1)
	go s.beat(ctx)
	if err := s.startHosts(ctx, siteZones()); err != nil {
		return false, err
	}
	sleep(ctx, settleFor)
	var clients leaving
	for n := range goneTimes {
		if trouble {
			s.record.printf("for %v one searcher of %d holds %.1f%% of its requests, and %.0f%% of the clients of %s leave within %v", goneFor, hangEvery, 100*hangShare, 100*leaveShare, leaveZone, leaveWithin)
			s.setHang(n, hangShare)
		}
		s.sendSweeps(ctx, &clients, trouble)
		s.setHang(n, 0)
		sleep(ctx, gonePause)
	}
	sleep(ctx, time.Second) // the last runs end
	return s.judgeGone(log, &clients), nil
}

// setHang sets the share of the requests that one searcher of hangEvery holds, beginning with the nth.
func (s *system) setHang(n int, share float64) {
	for i := n; i < len(s.searchers); i += hangEvery {
		s.searchers[i].setHang(share)
	}
}

// sendSweeps sends requests to the hosts in turn.
func (s *system) sendSweeps(ctx context.Context, clients *leaving, trouble bool) {
	play, cancel := context.WithTimeout(ctx, goneFor)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; play.Err() == nil; n++ {
		h := s.hosts[n%len(s.hosts)]
		id := fmt.Sprintf("g%d-%d", time.Now().UnixMilli(), n)
		turn := n / len(s.hosts) % 10
		leaves := trouble && h.zone == leaveZone && float64(turn) < 10*leaveShare
		wg.Go(func() { s.sendSweep(h, id, leaves, clients) })
		sleep(play, requestEvery)
	}
}

func (s *system) sendSweep(h *host, id string, leaves bool, clients *leaving) {
	c, err := net.Dial("tcp", h.callers)
	if err != nil {
		s.record.printf("%s: %v", id, err)
		return
	}
	defer c.Close()
	wait := time.Second
	if leaves {
		wait = rand.N(leaveWithin)
	}
	_ = c.SetReadDeadline(time.Now().Add(wait)) // fails only if the connection has ended
	if _, err := fmt.Fprintf(c, "GET /sweep/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 600\r\nConnection: close\r\n\r\n", hostName, headerAttempt, id, headerDeadline); err != nil {
		s.record.printf("%s: %v", id, err)
		return
	}
	n, _ := io.Copy(io.Discard, c) // ends with the answer, or when the client leaves
	if leaves && n == 0 {
		_ = c.Close()
		clients.add(id)
	}
}

// judgeGone reports whether the rule GONE was broken.
func (s *system) judgeGone(log *runLog, clients *leaving) bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	long, late := 0, 0
	for id, left := range clients.left {
		for _, r := range log.runs[id] {
			if r.due.Sub(left) <= tooLong+slack {
				continue
			}
			long++
			after := r.end.Sub(left)
			s.record.printf("%s: sent by a client of %s that left; searcher %s began %v before that and stopped %v after it", id, leaveZone, r.searcher, left.Sub(r.start).Round(time.Millisecond), after.Round(time.Millisecond))
			if after > tooLong+slack {
				late++
			}
		}
	}
	s.record.printf("%d clients left; %d runs would have lasted for over %v after that, and %d did", len(clients.left), long, tooLong, late)
	return late > fewRuns && 4*late > long
}
