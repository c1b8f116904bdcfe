package chaos

import (
	"context"
	"encoding/base64"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// useTime is how long hosts that get requests may take to use a searcher after it has registered.
const useTime = 4 * time.Second

// oddEntries leaves entries in the list of searchers that name no searcher to use. All name the address of a trap, to which
// nothing may connect.
type oddEntries struct {
	left     atomic.Int64
	trapAddr string
	trapped  atomic.Int64
}

// listen starts the trap, which ends with ctx.
func (o *oddEntries) listen(ctx context.Context) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	o.trapAddr = l.Addr().String()
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			o.trapped.Add(1)
			_ = c.Close()
		}
	}()
	return nil
}

// texts returns the items of the store for odd entries under a key.
func (o *oddEntries) texts(key, service string) []string {
	entry := func(old, next string) string {
		value := fmt.Sprintf(`{"service":%q,"addr":%q,"zone":"a","version":"v1","max_concurrency":2,"state":"ready","warmup_left_ms":0,"sequence":1,"born":1700000000000}`, service, o.trapAddr)
		return base64.StdEncoding.EncodeToString([]byte(strings.Replace(value, old, next, 1)))
	}
	item := func(value, rest string) string { return fmt.Sprintf(`{"key":%q,"value":%q%s}`, key, value, rest) }
	nested := strings.Repeat(`{"a":[`, 50_000) + strings.Repeat(`]}`, 50_000)
	const rev = `,"rev":1`
	return []string{
		item(entry("", ""), `,"rev":99999999999999999999999999`),
		item(entry("", ""), `,"rev":-1`),
		item(entry("", ""), `,"rev":1e999`),
		item(entry("", ""), `,"rev":1,"rev":2`),
		item(entry("", ""), rev+`,"extra":`+nested+`,"value":"x"`),
		item("%", rev),
		item(entry(o.trapAddr, "127.0.0.1:99999"), rev),
		item(entry(o.trapAddr, "127.0.0.1:0"), rev),
		item(entry(`"max_concurrency":2`, `"max_concurrency":9223372036854775807`), rev),
		item(entry(`"born":1700000000000`, `"born":1e400`), rev),
		item(entry(`"zone":"a"`, `"zone":"a","x":`+nested), rev),
		item(entry(`"ready"`, `"sleepy"`), rev),
		item(entry(`"version":"v1",`, ""), rev),
		fmt.Sprintf("{\"key\":\"%s\xff\",\"value\":%q%s}", key, entry("", ""), rev),
		fmt.Sprintf(`{"value":%q%s}`, entry("", ""), rev),
		"5", "null", "[]", nested,
	}
}

// leaveOddEntry writes an odd entry for the service of a searcher, which stays to the end of the run, and replaces the
// searcher.
func (x *Experiment) leaveOddEntry(ctx context.Context, s *searcher) {
	o := &x.env.odd
	n := o.left.Add(1)
	// Some keys are before those of the searchers, and some after.
	key := fmt.Sprintf("servers/%s-%d", []string{"a", "z"}[n%2], n)
	texts := o.texts(key, s.server.Service)
	text := texts[x.rand.IntN(len(texts))]
	x.logf("odd entry %.60s", text)
	x.env.store.PutText(key, text)
	x.replaceSearcher(ctx, s)
}

// checkOddEntries reports searchers without requests, if they were registered in time and their service had requests, and
// connections to the addresses of odd entries.
func (e *environment) checkOddEntries(c *checker) {
	if n := e.odd.trapped.Load(); n > 0 {
		c.addViolation(fmt.Sprintf("%d connections to the address that odd entries name", n))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	due := time.Now().Add(-useTime).UnixMilli()
	for _, s := range e.searchers {
		isUsed := strings.HasPrefix(s.server.Service, "wide") // some configuration leaves out each of the other services
		if isUsed && !s.draining.Load() && s.startedMs < due && len(s.server.Arrivals()) == 0 {
			c.addViolation(fmt.Sprintf("searcher %s of %s got no request since it registered", s.server.ID, s.server.Service))
		}
	}
}
