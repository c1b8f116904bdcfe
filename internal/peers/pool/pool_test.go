package pool

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/hybrid"
	"github.com/yuccahinge/yuccahinge/internal/peers/frame"
	"github.com/yuccahinge/yuccahinge/internal/peers/peer"
)

// refusalEvents receives the PeerRefused events of a server.
type refusalEvents chan yuccahinge.Event

func (r refusalEvents) Record(e yuccahinge.Event) {
	if e.Code == event.PeerRefused {
		r <- e
	}
}

// serve starts a server on a free port and returns its address.
func serve(t testing.TB, s *peer.Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	return l.Addr().String()
}

func echo(_ context.Context, decode func(any) error) (any, error) {
	var s string
	if err := decode(&s); err != nil {
		return nil, err
	}
	return s, nil
}

func expectEcho(t *testing.T, p *Pool, addr string) {
	t.Helper()
	var got string
	if err := p.Call(t.Context(), addr, "echo", "soup", &got); err != nil || got != "soup" {
		t.Fatalf("echo = %q, %v", got, err)
	}
}

func codeOf(err error) yuccahinge.Code {
	var e *yuccahinge.Error
	if !errors.As(err, &e) {
		return ""
	}
	return e.Code
}

func TestCallsRunConcurrently(t *testing.T) {
	const calls = 4
	var s peer.Server
	var allStarted sync.WaitGroup
	allStarted.Add(calls)
	s.Handle("meet", func(context.Context, func(any) error) (any, error) {
		allStarted.Done()
		allStarted.Wait()
		return nil, nil
	})
	addr := serve(t, &s)
	var p Pool
	defer p.Close()
	g, ctx := errgroup.WithContext(t.Context())
	for range calls {
		g.Go(func() error { return p.Call(ctx, addr, "meet", 1, nil) })
	}
	if err := g.Wait(); err != nil {
		t.Fatalf("calls did not run concurrently: %v", err)
	}
}

func TestCallAfterCanceledCallSucceeds(t *testing.T) {
	var s peer.Server
	entered := make(chan struct{})
	left := make(chan struct{})
	s.Handle("hang", func(ctx context.Context, _ func(any) error) (any, error) {
		close(entered)
		<-ctx.Done()
		close(left)
		return nil, ctx.Err()
	})
	s.Handle("echo", echo)
	addr := serve(t, &s)
	var p Pool
	defer p.Close()
	expectEcho(t, &p, addr)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-entered
		cancel()
	}()
	err := p.Call(ctx, addr, "hang", 1, nil)
	if !errors.Is(err, context.Canceled) || peer.NeverSent(err) {
		t.Fatalf("canceled call returned %v", err)
	}
	<-left
	expectEcho(t, &p, addr)
}

func TestCallToFrozenPeerEndsWithItsContext(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var p Pool
	defer p.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Read(make([]byte, 1))
		cancel()
		<-t.Context().Done()
	}()
	big := strings.Repeat("x", frame.MaxMessageBytes-1000)
	err = p.Call(ctx, l.Addr().String(), "echo", big, nil)
	if codeOf(err) != yuccahinge.CodeDeadline || peer.NeverSent(err) {
		t.Fatalf("call to a frozen peer returned %v", err)
	}
}

func TestNeverSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedAddr := l.Addr().String()
	l.Close()
	var p Pool
	if err := p.Call(t.Context(), closedAddr, "echo", 1, nil); !peer.NeverSent(err) {
		t.Errorf("call to a closed port returned %v", err)
	}
	if err := p.Call(t.Context(), closedAddr, "echo", make([]byte, frame.MaxMessageBytes+1), nil); !peer.NeverSent(err) || !errors.Is(err, frame.ErrTooLarge) {
		t.Errorf("oversized call returned %v", err)
	}
}

func TestOversizedReplyIsAnError(t *testing.T) {
	var s peer.Server
	s.Handle("big", func(context.Context, func(any) error) (any, error) {
		return make([]byte, frame.MaxMessageBytes+1), nil
	})
	s.Handle("brim", func(context.Context, func(any) error) (any, error) {
		return make([]byte, frame.MaxMessageBytes-8), nil
	})
	s.Handle("echo", echo)
	addr := serve(t, &s)
	var p Pool
	defer p.Close()
	for _, m := range []yuccahinge.PeerMethod{"big", "brim"} {
		if err := p.Call(t.Context(), addr, m, 1, nil); codeOf(err) != yuccahinge.CodeTooLarge {
			t.Errorf("%s returned %v", m, err)
		}
	}
	expectEcho(t, &p, addr)
}

func TestTypedErrorsReachTheCaller(t *testing.T) {
	var s peer.Server
	s.Handle("fail", func(context.Context, func(any) error) (any, error) {
		return nil, &yuccahinge.Error{Code: yuccahinge.CodeConflict, Step: yuccahinge.StepClaim, Message: "taken", Outcome: yuccahinge.NotRun}
	})
	s.Handle("echo", echo)
	addr := serve(t, &s)
	var p Pool
	defer p.Close()
	err := p.Call(t.Context(), addr, "fail", 1, nil)
	want := yuccahinge.Error{Code: yuccahinge.CodeConflict, Step: yuccahinge.StepClaim, Peer: addr, Message: "taken", Outcome: yuccahinge.NotRun}
	var got *yuccahinge.Error
	if !errors.As(err, &got) || *got != want {
		t.Errorf("got %v, want %v", err, &want)
	}
	if err := p.Call(t.Context(), addr, "echo", 7, nil); codeOf(err) != yuccahinge.CodeInvalid {
		t.Errorf("body of the wrong type returned %v", err)
	}
	if err := p.Call(t.Context(), addr, "none", 7, nil); codeOf(err) != yuccahinge.CodeNotFound {
		t.Errorf("unknown method returned %v", err)
	}
}

func TestOtherClustersAndProtocolsAreRefused(t *testing.T) {
	events := make(refusalEvents, 10)
	s := peer.Server{Cluster: "a", Recorder: events}
	s.Handle("echo", echo)
	addr := serve(t, &s)
	p := Pool{Cluster: "a"}
	defer p.Close()
	other := Pool{Cluster: "b"}
	defer other.Close()
	if err := other.Call(t.Context(), addr, "echo", "x", nil); codeOf(err) != yuccahinge.CodeConflict {
		t.Errorf("call from another cluster returned %v", err)
	}
	if _, err := http.Get("http://" + addr + "/"); err == nil {
		t.Error("the server answered an HTTP request")
	}
	raw := []string{"short", "YUCCAHG1\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"}
	for _, bytes := range raw {
		sendRaw(t, addr, bytes)
	}
	for range 4 {
		<-events
	}
	expectEcho(t, &p, addr)
}

// sendRaw writes bytes to addr and waits until the server has closed the connection.
func sendRaw(t *testing.T, addr, bytes string) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, bytes); err != nil {
		t.Fatal(err)
	}
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, conn)
}

func TestStampsAdvanceWithCallsAndReplies(t *testing.T) {
	var callerClock, serverClock hybrid.Clock
	s := peer.Server{Stamps: &serverClock}
	s.Handle("echo", echo)
	addr := serve(t, &s)
	p := Pool{Stamps: &callerClock}
	defer p.Close()
	ahead := yuccahinge.Timestamp{Wall: 1 << 50}
	callerClock.Observe(ahead)
	expectEcho(t, &p, addr)
	if got := serverClock.Next(0); !ahead.Before(got) {
		t.Errorf("server stamp %v is not above the caller's %v", got, ahead)
	}
	serverClock.Observe(yuccahinge.Timestamp{Wall: 1 << 51})
	expectEcho(t, &p, addr)
	if got := callerClock.Next(0); got.Wall != 1<<51 {
		t.Errorf("caller stamp %v did not advance to the server's", got)
	}
}

func TestRestartedPeerIsRedialed(t *testing.T) {
	var s peer.Server
	s.Handle("echo", echo)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	var p Pool
	defer p.Close()
	expectEcho(t, &p, addr)
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	v, _ := p.byAddr.Load(addr)
	<-v.(*addrPool).idle[0].conn.Closed()
	l, err = net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel = context.WithCancel(t.Context())
	defer cancel()
	go func() { done <- s.Serve(ctx, l) }()
	expectEcho(t, &p, addr)
}
