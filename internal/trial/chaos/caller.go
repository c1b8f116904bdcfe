package chaos

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/origin"
)

const (
	// topRecords is the number of records that the wide route returns (top_k).
	topRecords = 5
	// patience is how long callers wait for the answer to a request without a deadline.
	patience = 20 * time.Second
	// shortTimeout and longTimeout are the timeouts of the routes.
	shortTimeout = 3 * time.Second
	longTimeout  = 5 * time.Second
	// maxServiceTime bounds the service time of a request on a long route.
	maxServiceTime = 4 * time.Second
)

// The long routes, whose requests name their service time. Those of longRead may run several times, those of longPay at
// most once.
const (
	longRead = "longread"
	longPay  = "longpay"
	// longSlots is the number of slots of each of their searchers.
	longSlots = 64
)

// deadlines are the deadlines of requests on the long routes; zero means none.
var deadlines = []time.Duration{0, time.Second, 2500 * time.Millisecond, 4500 * time.Millisecond}

func timeoutOf(route string) time.Duration {
	if isLong(route) {
		return longTimeout
	}
	return shortTimeout
}

func isLong(route string) bool { return route == longRead || route == longPay }

// caller is a client with its own pool of kept-alive connections.
type caller struct {
	experiment *Experiment
	name       string
	rand       *rand.Rand
	client     *http.Client
	requests   int
	// isProbe is set if the caller only waits for answers with full coverage.
	isProbe bool
}

func newCaller(x *Experiment, i int) *caller {
	return &caller{
		experiment: x, name: fmt.Sprintf("%d.%d", x.Seed, i), rand: rand.New(rand.NewPCG(x.Seed, uint64(i)+2)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}},
	}
}

func (c *caller) run(ctx context.Context) error {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		h := c.experiment.pickHost(c.rand)
		c.call(ctx, h, []string{"wide", "wide", "wide", "read", "pay"}[c.rand.IntN(5)])
		sleep(ctx, c.experiment.Load.nextPause(c.rand))
	}
	return nil
}

// runLong sends requests on the long routes until ctx ends.
func (c *caller) runLong(ctx context.Context) error {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.callLong(ctx, c.experiment.hosts[c.rand.IntN(len(c.experiment.hosts))])
		sleep(ctx, time.Duration(c.rand.IntN(100))*time.Millisecond)
	}
	return nil
}

// callLong sends a request with a random service time and a random deadline. Half of the requests are short.
func (c *caller) callLong(ctx context.Context, h *host) {
	a := &answer{route: []string{longRead, longPay}[c.rand.IntN(2)], deadline: deadlines[c.rand.IntN(len(deadlines))]}
	a.serviceTime = time.Duration(c.rand.Int64N(int64(maxServiceTime)))
	if c.rand.IntN(2) == 0 {
		a.serviceTime /= 20
	}
	c.do(ctx, h, a)
}

// hasFullCoverage sends a wide request to the host and reports whether the answer covers all shards.
func (c *caller) hasFullCoverage(ctx context.Context, h *host) bool {
	a := c.call(ctx, h, "wide")
	return a.status == http.StatusOK && a.header.Get(origin.HeaderMissingParts) == "0"
}

// answer is the outcome of one request at the caller: the response, or err.
type answer struct {
	route, attempt string
	shards         int
	// deadline is the deadline that the request names; zero if it names none. serviceTime is how long a searcher works on
	// a request on a long route.
	deadline    time.Duration
	serviceTime time.Duration
	// sent is when the caller began to connect, written when the request was on its way, and ended when its answer was
	// complete or its connection had ended.
	sent, written, ended time.Time
	status               int
	header               http.Header
	body                 []byte
	err                  error
}

// limit returns how long the host may take at most.
func (a *answer) limit() time.Duration {
	if a.deadline > 0 {
		return min(a.deadline, timeoutOf(a.route))
	}
	return timeoutOf(a.route)
}

func (c *caller) call(ctx context.Context, h *host, route string) *answer {
	return c.do(ctx, h, &answer{route: route, deadline: c.experiment.Load.deadline()})
}

// do sends the request of a to the host, completes a and checks it.
func (c *caller) do(ctx context.Context, h *host, a *answer) *answer {
	a.attempt = c.nextAttempt(h)
	a.shards = c.experiment.Shape.shards()
	c.requests++
	p := h.process.Load()
	wait := patience
	if a.deadline > 0 {
		wait = a.deadline
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	a.sent = time.Now()
	request := c.experiment.sent.add(h, a, a.sent, c.experiment.env.version.Load())
	a.send(ctx, c.client, h.addr)
	a.ended = time.Now()
	request.end(a.err)
	c.experiment.checker.record(a, c.isProbe)
	for _, violation := range a.violations() {
		c.experiment.checker.addViolation(fmt.Sprintf("host %s, %s request %s: %s", h.name, a.route, a.attempt, violation))
	}
	if ctx.Err() == nil {
		c.experiment.checker.recordEnd(a, h, p)
	}
	if a.route == "read" && a.status == http.StatusOK {
		if v := c.experiment.inForceViolation(h, a.sent, signingService(a.header.Get(origin.HeaderServerStamp))); v != "" {
			c.experiment.checker.addViolation(fmt.Sprintf("host %s, read request %s: %s", h.name, a.attempt, v))
		}
		c.experiment.checker.checkVersion(
			h.name, p.incarnation, a.sent, signingService(a.header.Get(origin.HeaderServerStamp)), c.experiment.env.version.Load(),
		)
	}
	return a
}

// nextAttempt returns the id of the next request if it goes to the host.
func (c *caller) nextAttempt(h *host) string {
	return fmt.Sprintf("%s.%d@%s", c.name, c.requests+1, h.name)
}

func (a *answer) send(ctx context.Context, client *http.Client, addr string) {
	method, text := http.MethodGet, ""
	if strings.HasPrefix(a.route, "pay") || isLong(a.route) {
		method, text = http.MethodPost, "amount"
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { a.written = time.Now() },
	})
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/"+a.route+"/x", nil)
	if err != nil {
		a.err = err
		return
	}
	// A body without GetBody keeps the transport from sending the request again on its own when a kept connection ends.
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(text)), int64(len(text))
	r.Host = "h.example"
	r.Header.Set(origin.HeaderAttemptID, a.attempt)
	if a.deadline > 0 {
		r.Header.Set(origin.HeaderDeadlineMs, strconv.FormatInt(a.deadline.Milliseconds(), 10))
	}
	if a.serviceTime > 0 {
		r.Header.Set(origin.HeaderServiceTimeMs, strconv.FormatInt(a.serviceTime.Milliseconds(), 10))
	}
	resp, err := client.Do(r)
	if err != nil {
		a.err = err
		return
	}
	defer resp.Body.Close()
	if a.body, a.err = io.ReadAll(resp.Body); a.err == nil {
		a.status, a.header = resp.StatusCode, resp.Header
	}
}

// violations returns the invariants that this answer violates, checked without regard to other answers.
func (a *answer) violations() []string {
	switch {
	case a.err != nil:
		return nil
	case a.status == http.StatusNotFound || a.status == http.StatusBadRequest:
		return []string{fmt.Sprintf("refused with status %d, but every configuration allows the request", a.status)}
	case a.isFalselyQuarantined():
		return []string{"refused as a request that crashes searchers"}
	case a.status != http.StatusOK:
		return nil
	case a.route == "wide":
		return a.wideViolations()
	}
	stamp := a.header.Get(origin.HeaderServerStamp)
	if !isSignatureOf(stamp, a.attempt) {
		return []string{"signature " + stamp + " does not belong to this request"}
	}
	if !bytes.Equal(a.body, origin.Answer(signingService(stamp), a.attempt)) {
		return []string{"the body is not the one that the signing searcher sends"}
	}
	return nil
}

func (a *answer) wideViolations() []string {
	var out []string
	var names []string
	var records [][]byte
	for _, stamp := range strings.Split(a.header.Get(origin.HeaderPartStamps), ", ") {
		if !isSignatureOf(stamp, a.attempt) {
			out = append(out, "part "+stamp+" does not belong to this request")
		}
		name := signingService(stamp)
		if slices.Contains(names, name) {
			out = append(out, "two parts from service "+name)
		}
		names = append(names, name)
		all := origin.Answer(name, a.attempt)
		for len(all) > 0 {
			records, all = append(records, all[:origin.RecordBytes]), all[origin.RecordBytes:]
		}
	}
	missing, err := strconv.Atoi(a.header.Get(origin.HeaderMissingParts))
	if err != nil || missing+len(names) != a.shards || 2*len(names) < a.shards {
		out = append(out, fmt.Sprintf("%d parts and a missing count of %q: not all shards are counted, or fewer than half covered",
			len(names), a.header.Get(origin.HeaderMissingParts)))
	}
	slices.SortFunc(records, func(x, y []byte) int { return bytes.Compare(y, x) })
	if !bytes.Equal(a.body, bytes.Join(records[:min(topRecords, len(records))], nil)) {
		out = append(out, "the records are not the top records of the parts")
	}
	return out
}

// isSignatureOf reports whether the stamp is a valid searcher signature of an answer to the attempt.
func isSignatureOf(stamp, attempt string) bool {
	fields := strings.Split(stamp, ".")
	return len(fields) == 3 && stamp == origin.Sign(fields[1], fields[0], attempt)
}

// signingService returns the service name at the start of a stamp.
func signingService(stamp string) string {
	name, _, _ := strings.Cut(stamp, ".")
	return name
}
