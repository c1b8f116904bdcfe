package storm

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/part"
)

const (
	// topRecords is the number of records of a wide answer.
	topRecords = 5
	// deadline is how long a caller waits.
	deadline = 800 * time.Millisecond
)

// caller is a client with connections of its own, which it keeps.
type caller struct {
	storm  *Storm
	name   string
	rand   *rand.Rand
	client *http.Client
	n      int
}

func newCaller(s *Storm, i int) *caller {
	return &caller{
		storm: s, name: fmt.Sprintf("%d.%d", s.Seed, i), rand: rand.New(rand.NewPCG(s.Seed, uint64(i)+2)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}},
	}
}

func (c *caller) run(ctx context.Context) error {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		h := c.storm.hosts[c.rand.IntN(len(c.storm.hosts))]
		c.call(ctx, h, []string{"wide", "wide", "wide", "read", "pay"}[c.rand.IntN(5)])
		sleep(ctx, time.Duration(c.rand.IntN(25))*time.Millisecond)
	}
	return nil
}

// whole reports whether a host gives a wide answer that lacks nothing.
func (c *caller) whole(ctx context.Context, h *host) bool {
	a := c.call(ctx, h, "wide")
	return a.status == http.StatusOK && a.header.Get(part.HeaderMissing) == "0"
}

// answer is what a caller saw of one request.
type answer struct {
	route, attempt string
	status         int
	header         http.Header
	body           []byte
	err            error
}

func (c *caller) call(ctx context.Context, h *host, route string) *answer {
	c.n++
	a := &answer{route: route, attempt: fmt.Sprintf("%s.%d", c.name, c.n)}
	life, sent := h.life.Load(), time.Now()
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	a.send(ctx, c.client, h.addr)
	c.storm.log.add(a)
	for _, problem := range a.problems() {
		c.storm.log.violate(fmt.Sprintf("host %s, %s request %s: %s", h.name, route, a.attempt, problem))
	}
	if a.err != nil && h.mustAnswer(life, sent) && ctx.Err() == nil {
		c.storm.log.violate(fmt.Sprintf("host %s cut request %s off while it drained: %v", h.name, a.attempt, a.err))
	}
	if route == "read" && a.status == http.StatusOK {
		c.storm.log.follow(h.name, life, sent, service(a.header.Get(part.HeaderStamp)), c.storm.site.version.Load())
	}
	return a
}

// mustAnswer reports whether a request that was sent before the host was told to end, and that met nothing worse, is
// to be answered.
func (h *host) mustAnswer(life int64, sent time.Time) bool {
	left := h.leftAt.Load()
	return h.life.Load() == life && left > 0 && sent.UnixNano() < left && h.harmed.Load() < sent.UnixNano()-int64(time.Second)
}

func (a *answer) send(ctx context.Context, client *http.Client, addr string) {
	method := http.MethodGet
	var body io.Reader
	if a.route == "pay" {
		method, body = http.MethodPost, strings.NewReader("amount")
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/"+a.route+"/x", body)
	if err != nil {
		a.err = err
		return
	}
	r.Host = "h.example"
	r.Header.Set(part.HeaderAttempt, a.attempt)
	r.Header.Set(part.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	// Without it the transport sends a request again by itself.
	r.GetBody = nil
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

// problems returns what is wrong with an answer by itself.
func (a *answer) problems() []string {
	switch {
	case a.err != nil:
		return nil
	case a.status == http.StatusNotFound || a.status == http.StatusBadRequest:
		return []string{fmt.Sprintf("refused with %d though every configuration allows it", a.status)}
	case a.status != http.StatusOK:
		return nil
	case a.route == "wide":
		return a.wideProblems()
	}
	stamp := a.header.Get(part.HeaderStamp)
	if !signs(stamp, a.attempt) {
		return []string{"signature " + stamp + " is not of this request"}
	}
	if !bytes.Equal(a.body, part.Answer(service(stamp), a.attempt)) {
		return []string{"the body is not the searcher's"}
	}
	return nil
}

func (a *answer) wideProblems() []string {
	var out []string
	var names []string
	var records [][]byte
	for _, stamp := range strings.Split(a.header.Get(part.HeaderParts), ", ") {
		if !signs(stamp, a.attempt) {
			out = append(out, "part "+stamp+" is not of this request")
		}
		name := service(stamp)
		if slices.Contains(names, name) {
			out = append(out, "two parts of "+name)
		}
		names = append(names, name)
		all := part.Answer(name, a.attempt)
		for len(all) > 0 {
			records, all = append(records, all[:part.RecordBytes]), all[part.RecordBytes:]
		}
	}
	missing, err := strconv.Atoi(a.header.Get(part.HeaderMissing))
	if err != nil || missing+len(names) != shards || 2*len(names) < shards {
		out = append(out, fmt.Sprintf("%d parts and %q missing", len(names), a.header.Get(part.HeaderMissing)))
	}
	slices.SortFunc(records, func(x, y []byte) int { return bytes.Compare(y, x) })
	if !bytes.Equal(a.body, bytes.Join(records[:min(topRecords, len(records))], nil)) {
		out = append(out, "the records are not the greatest of the parts")
	}
	return out
}

// signs reports whether a signature is one of an answer to the attempt.
func signs(stamp, attempt string) bool {
	words := strings.Split(stamp, ".")
	return len(words) == 3 && stamp == part.Sign(words[1], words[0], attempt)
}

func service(stamp string) string {
	name, _, _ := strings.Cut(stamp, ".")
	return name
}
