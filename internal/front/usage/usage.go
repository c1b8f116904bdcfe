// Package usage decides which clients' connections end because of what they take: memory, connections or time.
package usage

import (
	"sync"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// freeBytes is the size in bytes of a request that is part of the cost of a connection and not counted by itself.
	freeBytes = 16 << 10
	// lineBytes is what a line of a head takes in the map of lines and in the list of fields that is made from it, in bytes.
	lineBytes = 256
	// bodyCopies is how many times a body is held while it is read into a buffer that grows.
	bodyCopies = 2
	// messageCopies is the same for a message between hosts, whose buffer drpc doubles and then copies.
	messageCopies = 4
	// headSlack is how many bytes after a head may arrive with its end, in one read.
	headSlack = 4 << 10
	// headTimeSlackMs is how much later than a caller a host may notice that a head has begun.
	headTimeSlackMs = 1 * yuccahinge.Second
	// minAgeMs is the age from which an idle connection, or a request in progress, is closed before all younger ones. Younger answers keep
	// their bytes.
	minAgeMs = 1 * yuccahinge.Second
)

// Reason is why a connection ends.
type Reason string

// Reasons.
const (
	Memory      Reason = "memory"
	Connections Reason = "connections"
	HeadBytes   Reason = "headBytes"
	HeadLines   Reason = "headLines"
	HeadTime    Reason = "headTime"
	BodyRate    Reason = "bodyRate"
	AnswerRate  Reason = "answerRate"
)

// Reasons lists all reasons.
var Reasons = []Reason{Memory, Connections, HeadBytes, HeadLines, HeadTime, BodyRate, AnswerRate}

// Phase is what a connection waits for.
type Phase string

// Phases. The zero value is that of an idle connection.
const (
	// Idle is before the first byte of a request.
	Idle Phase = ""
	Head Phase = "head"
	Body Phase = "body"
	// Whole means that the request has been read whole, so that it may run.
	Whole Phase = "whole"
	// Answer means that bytes are being written to the client.
	Answer Phase = "answer"
)

// Port is a group of connections with a common limit. The zero value has no limit.
type Port struct {
	// MaxConnections is the limit; zero means none.
	MaxConnections int

	open int
	// left counts connections that were closed for others and still hold their bytes.
	left int
}

// leftPart is the part of a port's connections that may be closed and still hold their bytes while another one is accepted.
const leftPart = 4

// Client is one connection. Set the exported fields before Open; the zero value is an HTTP connection without a port.
type Client struct {
	Port *Port
	// IsMessages means that the connection carries messages between hosts, in place of HTTP requests.
	IsMessages bool
	// HasUnread reports whether bytes of the client have arrived that the process has not read. Nil means that there are none.
	HasUnread func() bool
	// Owner is not used by the package.
	Owner any

	phase, before Phase
	// since is when the request began, phaseSince when the phase began.
	since, phaseSince yuccahinge.Millis
	// held is what the request takes, in bytes, of which all above freeBytes are counted.
	held int64
	// progress counts the bytes of the phase, message those of a message between hosts, unwritten those that wait to be read by the client.
	progress, message, unwritten int64
	headBytes, lines             int
	// served is the number of requests that have ended.
	served int
	// hasLeft is true once the connection no longer counts at its port.
	hasLeft bool
	reason  Reason
}

// Tracker tracks the connections of a process. The zero value has no limits. It is safe for concurrent use.
type Tracker struct {
	// MaxBytes is the limit of the bytes held for all connections; zero means none.
	MaxBytes int64
	// HeaderLines is the largest number of lines of a head; zero means no limit.
	HeaderLines int
	// StallMs is how long a body or an answer may take in addition to its bytes at BytesPerSecond; zero means no limit.
	StallMs        yuccahinge.Millis
	BytesPerSecond float64
	// Caller returns the limits of callers that are in force; nil means none.
	Caller func() yuccahinge.CallerLimits

	mu      sync.Mutex
	clients map[*Client]bool
	// large holds the connections of which bytes are counted, without those that were ended.
	large map[*Client]bool
	// used is the number of bytes of the connections in large, ending that of connections that were ended and are not closed yet.
	used, ending int64
	ended        map[Reason]uint64
}

// Open adds a connection. It returns the connections to close because of it, of which it may be one itself.
func (t *Tracker) Open(now yuccahinge.Millis, c *Client) []*Client {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.clients == nil {
		t.clients, t.large = make(map[*Client]bool), make(map[*Client]bool)
	}
	c.since, c.phaseSince = now, now
	var out []*Client
	if p := c.Port; p != nil && p.MaxConnections > 0 && p.open >= p.MaxConnections {
		victim := t.worstConnection(now, p)
		if victim == nil {
			victim = c
		}
		out = append(out, t.end(victim, Connections))
		t.leavePort(victim)
	}
	if c.reason == "" {
		t.clients[c] = true
		if c.Port != nil {
			c.Port.open++
		}
	}
	return out
}

// leavePort ends the count of a connection at its port, since its descriptor is closed next. The caller holds the lock.
func (t *Tracker) leavePort(c *Client) {
	if t.clients[c] && !c.hasLeft {
		c.hasLeft = true
		c.Port.left++
		c.Port.open--
	}
}

// Close removes a connection. Call it once nothing holds the connection's bytes any more.
func (t *Tracker) Close(c *Client) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.clients[c] {
		return
	}
	if c.reason == "" {
		t.hold(c, 0)
	} else {
		t.ending -= c.counted()
	}
	delete(t.clients, c)
	switch {
	case c.hasLeft:
		c.Port.left--
	case c.Port != nil:
		c.Port.open--
	}
}

// MustWaitToOpen reports whether a port should accept connections only later, because many that were closed still hold their bytes.
func (t *Tracker) MustWaitToOpen(p *Port) bool {
	if p == nil || p.MaxConnections <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return p.left > p.MaxConnections/leftPart
}

// MustWait reports whether a connection should read more of a request only later, because others that were ended still hold their bytes.
func (t *Tracker) MustWait(c *Client) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.phase != Head && c.phase != Body {
		return false // net/http also reads while a request runs, and the end of the request waits for that read
	}
	return t.MaxBytes > 0 && c.counted() > 0 && c.reason == "" && t.ending > 0 && t.used+t.ending > t.MaxBytes
}

// Read counts bytes that were read from a connection, with the lines of a head among them. It returns the connections to end.
func (t *Tracker) Read(now yuccahinge.Millis, c *Client, n, lines int) []*Client {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.reason != "" {
		return nil
	}
	if c.IsMessages {
		return t.readMessage(now, c, n)
	}
	if c.phase == Idle {
		c.enter(now, Head)
		c.since = now
	}
	if c.phase != Head {
		return nil // the handler counts what it reads of a body
	}
	c.headBytes += n
	c.lines += lines
	switch limit := t.caller().HeaderBytes; {
	case limit > 0 && c.headBytes > limit+headSlack:
		return []*Client{t.end(c, HeadBytes)}
	case t.HeaderLines > 0 && c.lines > t.HeaderLines:
		return []*Client{t.end(c, HeadLines)}
	}
	t.hold(c, int64(c.headBytes)+int64(c.lines)*lineBytes)
	return t.endWorst(now)
}

// readMessage counts bytes of a message between hosts. Its buffer is kept as long as the connection. A message below freeBytes doesn't
// count as begun, since a few bytes may also follow the last one. The caller holds the lock.
func (t *Tracker) readMessage(now yuccahinge.Millis, c *Client, n int) []*Client {
	if c.message == 0 {
		c.since = now
	}
	c.message += int64(n)
	c.progress += int64(n)
	switch isLarge := c.message*messageCopies > freeBytes; {
	case c.phase == Idle && isLarge:
		c.enter(now, Body)
	case c.phase == Idle:
		c.phaseSince = now
	}
	t.hold(c, max(c.held, c.message*messageCopies))
	return t.endWorst(now)
}

// ReadBody counts bytes of a body that a handler has read. It returns the connections to end.
func (t *Tracker) ReadBody(now yuccahinge.Millis, c *Client, n int) []*Client {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.reason != "" {
		return nil
	}
	c.progress += int64(n)
	t.hold(c, c.held+int64(n)*bodyCopies)
	return t.endWorst(now)
}

// Enter sets the phase of a connection. Whole after Body means that the request may run from now on. Idle ends the request, and a request
// begins when Idle ends. Enter does nothing and returns false if the connection has ended.
func (t *Tracker) Enter(now yuccahinge.Millis, c *Client, p Phase) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.reason != "" {
		return false
	}
	if c.phase == p {
		return true
	}
	if c.phase == Idle {
		c.since = now
	}
	c.enter(now, p)
	if p != Idle {
		return true
	}
	c.served++
	c.message = 0
	if !c.IsMessages {
		c.headBytes, c.lines = 0, 0
		t.hold(c, 0)
	}
	return true
}

func (c *Client) enter(now yuccahinge.Millis, p Phase) {
	c.phase, c.phaseSince, c.progress = p, now, 0
}

// BeginWrite counts bytes that wait until the client reads them. It returns the connections to end.
func (t *Tracker) BeginWrite(now yuccahinge.Millis, c *Client, n int) []*Client {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.reason != "" || c.phase == Answer {
		return nil
	}
	c.before = c.phase
	c.enter(now, Answer)
	c.unwritten = int64(n)
	t.hold(c, c.held+c.unwritten)
	return t.endWorst(now)
}

// Wrote counts bytes that the client's side has taken.
func (t *Tracker) Wrote(c *Client, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.phase == Answer && c.reason == "" {
		c.progress += int64(n)
		t.written(c, int64(n))
	}
}

// written ends the count of bytes that the client's side has taken. The caller holds the lock.
func (t *Tracker) written(c *Client, n int64) {
	n = min(n, c.unwritten)
	c.unwritten -= n
	t.hold(c, c.held-n)
}

// EndWrite ends what BeginWrite began. On a connection of messages it ends the request.
func (t *Tracker) EndWrite(now yuccahinge.Millis, c *Client) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.phase != Answer || c.reason != "" {
		return
	}
	t.written(c, c.unwritten)
	if c.IsMessages {
		c.enter(now, Idle)
		c.served++
		c.message = 0
		return
	}
	c.enter(now, c.before)
}

// Expired returns the connections that have taken too long. None is ended: EndExpired does that.
func (t *Tracker) Expired(now yuccahinge.Millis) map[*Client]Reason {
	t.mu.Lock()
	defer t.mu.Unlock()
	headMs := t.caller().HeaderMs
	var out map[*Client]Reason
	for c := range t.clients {
		if reason := t.lateness(now, c, headMs); reason != "" && c.reason == "" {
			if out == nil {
				out = make(map[*Client]Reason)
			}
			out[c] = reason
		}
	}
	return out
}

func (t *Tracker) lateness(now yuccahinge.Millis, c *Client, headMs yuccahinge.Millis) Reason {
	switch c.phase {
	case Head:
		if headMs > 0 && now-c.phaseSince > headMs+headTimeSlackMs {
			return HeadTime
		}
	case Body:
		if t.isSlow(now, c) {
			return BodyRate
		}
	case Answer:
		if t.isSlow(now, c) {
			return AnswerRate
		}
	}
	return ""
}

func (t *Tracker) isSlow(now yuccahinge.Millis, c *Client) bool {
	if t.StallMs <= 0 {
		return false
	}
	allowed := t.StallMs
	if t.BytesPerSecond > 0 {
		allowed += yuccahinge.Millis(float64(c.progress)/t.BytesPerSecond) * yuccahinge.Second
	}
	return now-c.phaseSince > allowed
}

// EndExpired ends a connection that Expired has returned if it still takes too long for that reason, and reports whether it did.
func (t *Tracker) EndExpired(now yuccahinge.Millis, c *Client, reason Reason) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.reason != "" || !t.clients[c] || t.lateness(now, c, t.caller().HeaderMs) != reason {
		return false
	}
	t.end(c, reason)
	return true
}

// end marks a connection as ended; it stays open until Close. The caller holds the lock.
func (t *Tracker) end(c *Client, reason Reason) *Client {
	if c.reason == "" {
		c.reason = reason
		if t.ended == nil {
			t.ended = make(map[Reason]uint64)
		}
		t.ended[reason]++
		t.ending += c.counted()
		t.used -= c.counted()
		delete(t.large, c)
	}
	return c
}

// Reason returns why a connection was ended; empty if it was not.
func (t *Tracker) Reason(c *Client) Reason {
	t.mu.Lock()
	defer t.mu.Unlock()
	return c.reason
}

// Phase returns the phase of a connection.
func (t *Tracker) Phase(c *Client) Phase {
	t.mu.Lock()
	defer t.mu.Unlock()
	return c.phase
}

// Ended returns how many connections were ended for a reason.
func (t *Tracker) Ended(r Reason) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended[r]
}

// Bytes returns the bytes that are counted.
func (t *Tracker) Bytes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.used + t.ending
}

// Len returns the number of connections that were not closed.
func (t *Tracker) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.clients)
}

// hold sets the bytes that a connection holds. The caller holds the lock.
func (t *Tracker) hold(c *Client, n int64) {
	before := c.counted()
	c.held = n
	after := c.counted()
	t.used += after - before
	switch {
	case before == 0 && after > 0:
		t.large[c] = true
	case before > 0 && after == 0:
		delete(t.large, c)
	}
}

func (c *Client) counted() int64 { return max(0, c.held-freeBytes) }

func (t *Tracker) caller() yuccahinge.CallerLimits {
	if t.Caller == nil {
		return yuccahinge.CallerLimits{}
	}
	return t.Caller()
}
