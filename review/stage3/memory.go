package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The case memory: the one machine that is left, after the others were taken away in turn, gets whole bodies of legal size on routes that go to all shards.
const (
	deskShards   = 20
	portalShards = 30
	crowdSize    = 400
	crowdBody    = 200_000
	crowdFor     = 9 * time.Second
	// readSpeed is how fast searchers read, in bytes per second.
	readSpeed = 100_000
	// leaveGap is the time from one SIGTERM to the next, and awayFor that from the last one to the bodies.
	leaveGap, awayFor = 2 * time.Second, 42 * time.Second
	// maxPeakKB is the memory of the machine in the larger of the two usual meanings of MB.
	maxPeakKB = memoryMb * 1024
)

// counts counts answers by what came.
type counts struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *counts) add(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = make(map[string]int)
	}
	c.n[what]++
}

func playMemory(ctx context.Context, s *system, trouble bool) (bool, error) {
	for _, set := range []struct {
		route, service string
		shards         int
	}{{"check", "desk", deskShards}, {"sweep", "portal", portalShards}} {
		var shards []string
		for i := range set.shards {
			name := fmt.Sprintf("%s-%d", set.service, i)
			shards = append(shards, name)
			if err := s.addService(ctx, &searcher{service: name, slots: 2, work: sweepWork, records: sweepRecords}, 26, "kosice", "presov"); err != nil {
				return false, err
			}
		}
		s.addSweep(set.route, shards)
	}
	s.putConfig(1)
	go s.beat(ctx)
	if err := s.startHosts(ctx, siteZones()); err != nil {
		return false, err
	}
	sleep(ctx, settleFor)
	last := s.hosts[0]
	if trouble {
		s.removeAllBut(ctx, last)
	}
	sleep(ctx, awayFor)
	var body []byte
	if trouble {
		body = bytes.Repeat([]byte(" "), crowdBody)
		for _, one := range s.searchers {
			one.bytesPerSecond.Store(readSpeed)
		}
	}
	s.record.printf("%s has had at most %d kB so far; from now on %d clients send bodies of %d bytes", last.name, last.peakKB(), crowdSize, len(body))
	s.sendBodies(ctx, last, body)
	peak := last.peakKB()
	s.record.printf("%s has had at most %d kB of the %d kB of its machine; ended: %t", last.name, peak, maxPeakKB, last.hasEnded())
	return peak > maxPeakKB || last.hasEnded(), nil
}

// removeAllBut sends SIGTERM to the other hosts in turn. They drain, end and don't come back.
func (s *system) removeAllBut(ctx context.Context, last *host) {
	for _, h := range s.hosts {
		if h == last {
			continue
		}
		_ = h.cmd.Process.Signal(syscall.SIGTERM) // fails only if it has ended
		s.record.printf("SIGTERM to %s, which leaves", h.name)
		sleep(ctx, leaveGap)
	}
}

// sendBodies lets clients send requests with a body, each the next one when the last one has ended.
func (s *system) sendBodies(ctx context.Context, h *host, body []byte) {
	crowd, cancel := context.WithTimeout(ctx, crowdFor)
	defer cancel()
	var answers counts
	var wg sync.WaitGroup
	for i := range crowdSize {
		wg.Go(func() {
			route := "sweep"
			if i%5 < 2 {
				route = "check"
			}
			for n := 0; crowd.Err() == nil; n++ {
				what, err := post(crowd, h.callers, route, fmt.Sprintf("c%dx%d", i, n), body)
				switch {
				case crowd.Err() != nil:
					return
				case err != nil:
					what = "no answer"
				}
				answers.add(what)
				sleep(crowd, 50*time.Millisecond)
			}
		})
	}
	wg.Wait()
	s.record.printf("answers: %v", answers.n)
}

// post sends one request on a connection of its own and returns the status of its answer.
func post(ctx context.Context, addr, route, id string, body []byte) (string, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return "", err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	head := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 600\r\nContent-Length: %d\r\n\r\n", route, hostName, headerAttempt, id, headerDeadline, len(body))
	if _, err := io.WriteString(c, head); err != nil {
		return "", err
	}
	go func() { _, _ = c.Write(body) }() // the host may answer before it has read all
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.Status, err
}
