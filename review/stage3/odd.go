package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// The case odd: one kind of request, from clients of one zone, has a header line with a byte beyond ASCII, as HTTP allows. Nothing else
// happens.
const (
	oddTurns = 300
	// oddEvery is how many requests come for one of the odd kind.
	oddEvery  = 10
	oddZone   = "poprad"
	oddPause  = 100 * time.Millisecond
	oddLine   = "X-Town: Ko\xb9ice\r\n" // ISO 8859-2
	plainLine = "X-Town: Kosice\r\n"
	// starvedShare is the part of the share of all requests that are served below which a kind is starved.
	starvedShare = 0.25
)

// served counts requests and those that were answered with success.
type served struct{ sent, ok int }

func (s served) share() float64 { return float64(s.ok) / float64(max(1, s.sent)) }

func (s *served) add(ok bool) {
	s.sent++
	if ok {
		s.ok++
	}
}

func playOdd(ctx context.Context, s *system, trouble bool) (bool, error) {
	var shards []string
	for i := range deskShards {
		name := fmt.Sprintf("desk-%d", i)
		shards = append(shards, name)
		if err := s.addService(ctx, &searcher{service: name, slots: 2, work: sweepWork, records: sweepRecords}, 26, "kosice", "presov"); err != nil {
			return false, err
		}
	}
	s.addSweep("sweep", shards)
	s.addSweep("town", shards)
	s.putConfig(1)
	go s.beat(ctx)
	if err := s.startHosts(ctx, siteZones()); err != nil {
		return false, err
	}
	sleep(ctx, settleFor)
	line := plainLine
	if trouble {
		line = oddLine
	}
	var poprad []*host
	for _, h := range s.hosts {
		if h.zone == oddZone {
			poprad = append(poprad, h)
		}
	}
	var all, odd served
	for n := range oddTurns {
		if n%oddEvery > 0 {
			all.add(s.get(s.hosts[n%len(s.hosts)], "sweep", fmt.Sprintf("p%d", n), plainLine))
		} else {
			ok := s.get(poprad[n/oddEvery%len(poprad)], "town", fmt.Sprintf("o%d", n), line)
			if !ok {
				// The client's retry reaches another host of its zone.
				ok = s.get(poprad[(n/oddEvery+1)%len(poprad)], "town", fmt.Sprintf("o%dr", n), line)
			}
			all.add(ok)
			odd.add(ok)
		}
		sleep(ctx, oddPause)
	}
	s.record.printf("of all %d requests %d were served, of the %d to /town/ %d", all.sent, all.ok, odd.sent, odd.ok)
	return odd.share() < starvedShare*all.share(), nil
}

// get sends a request with a header line and reports whether it was answered with success.
func (s *system) get(h *host, route, id, line string) bool {
	status, err := getWith(h.callers, route, id, line)
	switch {
	case err != nil:
		s.record.printf("%s to %s in %s: %v", id, h.name, h.zone, err)
	case status != "200 OK":
		s.record.printf("%s to %s in %s: %s", id, h.name, h.zone, status)
	}
	return status == "200 OK"
}

func getWith(addr, route, id, line string) (string, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second)) // fails only if the connection has ended
	if _, err := fmt.Fprintf(c, "GET /%s/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 600\r\n%sConnection: close\r\n\r\n", route, hostName, headerAttempt, id, headerDeadline, line); err != nil {
		return "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.Status, err
}
