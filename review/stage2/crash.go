package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/store"
)

func init() { scenarios["crash"] = playCrash }

// The case BUDGET: a request crashes each searcher that runs it, after the searcher has sent the head of its response. It comes again and
// again from one caller, at one host after the other.
const (
	crashPath   = "/fetch/crash"
	crashEvery  = 1500 * time.Millisecond
	crashLength = 60 * time.Second
	// backAfter is when a searcher that has crashed is back at its address, with a new id.
	backAfter = 2 * time.Second
	// contact is contact_ms, and maxRetries the number of retries that the rule allows after that.
	contact    = 4 * time.Second
	maxRetries = 3
	// ordinaryEvery is the time between two ordinary requests.
	ordinaryEvery = 45 * time.Millisecond
)

// crashes is the state of the case.
type crashes struct {
	*system
	trouble bool
	// early makes searchers crash before the first byte of a response.
	early bool

	mu      sync.Mutex
	started int
	// at holds the times of the crashes, sent when each request that may crash a searcher was sent, and reached those that reached one.
	at      []time.Time
	sent    map[string]time.Time
	reached map[string]bool
}

func playCrash(ctx context.Context, r *record, trouble bool) error {
	s, err := newSystem(ctx, r)
	if err != nil {
		return err
	}
	defer s.end()
	c := &crashes{system: s, trouble: trouble, early: os.Getenv("EARLY") != "", sent: make(map[string]time.Time), reached: make(map[string]bool)}
	for range 4 {
		if err := c.add(s.anyAddr()); err != nil {
			return err
		}
	}
	s.db.PutLimitedConfig(7, []store.Route{
		{Name: "fetch", Host: callerHost, Prefix: "/fetch/", Service: "archive", TimeoutMs: 2000, ObjectiveMs: 400, Attempts: 2},
	}, []string{"archive"}, serviceConns, callerLimits())
	s.addHosts("kosice", "presov", "poprad", "kosice")
	if err := s.startAll(ctx); err != nil {
		return err
	}
	sleep(ctx, settle)
	run, cancel := context.WithTimeout(ctx, crashLength)
	defer cancel()
	go c.sendOrdinary(run)
	for n := 0; run.Err() == nil; n++ {
		c.sendCrash(run, c.hosts[n%len(c.hosts)])
		sleep(run, crashEvery)
	}
	return c.judge()
}

// add starts a searcher.
func (c *crashes) add(addr string) error {
	c.mu.Lock()
	c.started++
	n := c.started
	c.mu.Unlock()
	sr := &searcher{ID: fmt.Sprintf("i-%03d", n), Service: "archive", Zone: []string{"kosice", "presov"}[n%2], Slots: 4, Queue: 16, Work: 20 * time.Millisecond}
	var once sync.Once
	sr.Take = func(conn *searcherConn, a *arrival) bool {
		if a.URL.Path != crashPath || a.Header.Get("Yuccahinge-Target-Instance") != sr.ID {
			return false
		}
		c.mu.Lock()
		c.reached[a.id] = true
		c.mu.Unlock()
		c.record.add("%s runs %s", sr.ID, a.id)
		if !c.trouble {
			return false
		}
		if !c.early {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nYuccahinge-Attempt-Id: %s\r\nYuccahinge-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n", a.id, stampOf(sr.ID, a.id), 16*recordCount)
		}
		sleep(c.ctx, sr.Work)
		once.Do(func() { c.end(sr) })
		return true
	}
	return c.addSearcher(sr, addr)
}

// end crashes a searcher, which is back after some time.
func (c *crashes) end(sr *searcher) {
	c.mu.Lock()
	c.at = append(c.at, time.Now())
	n := len(c.at)
	c.mu.Unlock()
	c.record.add("crash %d", n)
	c.crash(sr)
	time.AfterFunc(backAfter, func() {
		if c.ctx.Err() == nil {
			_ = c.add(sr.addr) // fails only if the case ends
		}
	})
}

func (c *crashes) sendCrash(ctx context.Context, h *host) {
	request := &call{method: http.MethodGet, path: crashPath, id: newAttempt(), deadline: 2 * time.Second}
	c.mu.Lock()
	c.sent[request.id] = time.Now()
	c.mu.Unlock()
	a, err := request.send(ctx, h.front())
	if err != nil {
		c.record.add("%s %s: %v", h.name, request.id, err)
		return
	}
	c.record.add("%s answers %s: %d", h.name, request.id, a.status)
}

// sendOrdinary sends ordinary requests until ctx ends.
func (c *crashes) sendOrdinary(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		request := &call{method: http.MethodGet, path: fmt.Sprint("/fetch/", n), id: newAttempt(), deadline: 2 * time.Second}
		h := c.hosts[n%len(c.hosts)]
		c.wg.Go(func() { _, _ = request.send(ctx, h.front()) })
		sleep(ctx, ordinaryEvery)
	}
}

// judge returns errBroken if too many retries reached searchers.
func (c *crashes) judge() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.say("%d requests sent, %d reached a searcher, %d crashes", len(c.sent), len(c.reached), len(c.at))
	if len(c.at) < 3 {
		return nil
	}
	late := 0
	for id := range c.reached {
		if c.sent[id].After(c.at[2].Add(contact)) {
			late++
		}
	}
	c.record.say("%d retries, sent later than %v after the third crash, reached searchers", late, contact)
	if late > maxRetries {
		return fmt.Errorf("%w: %d retries reached searchers, %d are allowed", errBroken, late, maxRetries)
	}
	return nil
}
