package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/clock"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/hybrid"
	"github.com/yuccahinge/yuccahinge/internal/front/conn"
	"github.com/yuccahinge/yuccahinge/internal/peers/frame"
)

// Limits of connections from other entry hosts.
const (
	// preambleTimeout bounds the wait for the preamble of a new connection.
	preambleTimeout = 2 * time.Second
	// idleTimeout is the time after which a connection without calls is closed. It is longer than the idle time of
	// package pool.
	idleTimeout = 90 * time.Second
	// acceptRetryDelay is the wait after a failed accept, for example when file descriptors run out.
	acceptRetryDelay = 50 * time.Millisecond
	// DefaultMaxConnections is the limit of open connections if MaxConnections is zero.
	DefaultMaxConnections = 8192
)

// Server handles calls from other entry hosts of the same cluster. The zero value serves the cluster with
// the empty name. Set the fields before Serve.
type Server struct {
	Cluster  string
	Self     yuccahinge.Member
	Clock    yuccahinge.Clock
	Stamps   *hybrid.Clock
	Recorder yuccahinge.EventRecorder
	// MaxConnections bounds the open connections; further ones are closed at once.
	MaxConnections int

	mu       sync.RWMutex
	handlers map[yuccahinge.PeerMethod]yuccahinge.PeerHandler
}

// Handle registers the handler of a method and replaces an earlier one.
func (s *Server) Handle(method yuccahinge.PeerMethod, h yuccahinge.PeerHandler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handlers == nil {
		s.handlers = make(map[yuccahinge.PeerMethod]yuccahinge.PeerHandler)
	}
	s.handlers[method] = h
}

// Serve accepts and serves connections of l until ctx ends, then closes them and l and returns nil.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	s.setDefaults()
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	g.Go(func() error { return s.accept(ctx, g, l) })
	return g.Wait()
}

// setDefaults sets the server's fields that are zero to their defaults.
func (s *Server) setDefaults() {
	if s.Clock == nil {
		s.Clock = clock.Clock{}
	}
	if s.Stamps == nil {
		s.Stamps = new(hybrid.Clock)
	}
	if s.MaxConnections == 0 {
		s.MaxConnections = DefaultMaxConnections
	}
}

func (s *Server) accept(ctx context.Context, g *errgroup.Group, l net.Listener) error {
	slots := make(chan struct{}, s.MaxConnections)
	server := drpcserver.NewWithOptions(s, drpcserver.Options{Manager: drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: frame.MaxMessageBytes},
		InactivityTimeout: idleTimeout,
	}})
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			sleep(ctx, acceptRetryDelay)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			s.recordRefusal(conn.RemoteAddr().String(), "too many connections")
			_ = conn.Close()
			continue
		}
		g.Go(func() error {
			defer func() { <-slots }()
			s.serveConn(ctx, server, conn)
			return nil
		})
	}
}

// serveConn serves one connection until it ends. Protocol errors are recorded and don't affect other connections.
func (s *Server) serveConn(ctx context.Context, server *drpcserver.Server, c net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	defer c.Close()
	if err := readPreamble(c); err != nil {
		s.recordRefusal(c.RemoteAddr().String(), err.Error())
		return
	}
	ctx = conn.NewContext(ctx, c)
	if m, ok := c.(messageConn); ok {
		ctx = context.WithValue(ctx, messageConnKey{}, m)
	}
	err := server.ServeOne(ctx, c)
	if drpc.ProtocolError.Has(err) {
		s.recordRefusal(c.RemoteAddr().String(), err.Error())
	}
}

// messageConn is a connection that is told when a call has been read whole, after which it isn't ended for what it takes.
type messageConn interface{ MessageRead() }

type messageConnKey struct{}

func readPreamble(conn net.Conn) error {
	if err := conn.SetReadDeadline(time.Now().Add(preambleTimeout)); err != nil {
		return err
	}
	buf := make([]byte, len(frame.Preamble))
	if _, err := io.ReadFull(conn, buf); err != nil {
		return errors.Wrap(err, "read preamble")
	}
	if string(buf) != frame.Preamble {
		return errors.Newf("unexpected preamble %q", buf)
	}
	return conn.SetReadDeadline(time.Time{})
}

// HandleRPC implements drpc.Handler for one call.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	if rpc != frame.RPC {
		return drpc.ProtocolError.New("unknown procedure %q", rpc)
	}
	var call frame.Call
	if err := stream.MsgRecv(&call, frame.Encoding{}); err != nil {
		s.recordRefusal("", err.Error())
		return err
	}
	if m, ok := stream.Context().Value(messageConnKey{}).(messageConn); ok {
		m.MessageRead()
	}
	reply := s.dispatch(stream.Context(), &call)
	err := stream.MsgSend(reply, frame.Encoding{})
	if !errors.Is(err, frame.ErrTooLarge) {
		return err
	}
	tooLarge := yuccahinge.Error{Code: yuccahinge.CodeTooLarge, Step: yuccahinge.StepPeer, Message: err.Error()}
	return stream.MsgSend(s.reply(nil, &tooLarge), frame.Encoding{})
}

func (s *Server) dispatch(ctx context.Context, call *frame.Call) *frame.Reply {
	if call.Cluster != s.Cluster {
		s.recordRefusal(string(call.Host), fmt.Sprintf("peer belongs to cluster %q", call.Cluster))
		return s.reply(nil, s.newError(yuccahinge.CodeConflict, "this host belongs to another cluster"))
	}
	s.Stamps.Observe(call.Stamp)
	s.mu.RLock()
	h := s.handlers[call.Method]
	s.mu.RUnlock()
	if h == nil {
		return s.reply(nil, s.newError(yuccahinge.CodeNotFound, fmt.Sprintf("unknown method %q", call.Method)))
	}
	if call.DeadlineMs > 0 {
		left := call.DeadlineMs - conn.FromContext(ctx).WaitedMs()
		if left <= 0 {
			return s.reply(nil, s.newError(yuccahinge.CodeDeadline, "the deadline of the call passed before it was read"))
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left.Duration())
		defer cancel()
	}
	body, err := h(ctx, func(v any) error { return s.decode(call.Body, v) })
	return s.reply(body, err)
}

func (s *Server) decode(body []byte, v any) error {
	if err := (frame.Encoding{}).Unmarshal(body, v); err != nil {
		return &yuccahinge.Error{Code: yuccahinge.CodeInvalid, Step: yuccahinge.StepDecode, Message: "malformed body", Err: err}
	}
	return nil
}

func (s *Server) reply(body any, err error) *frame.Reply {
	r := &frame.Reply{
		Host:        yuccahinge.HostID(s.Self.ID),
		Incarnation: s.Self.Incarnation,
		Stamp:       s.Stamps.Next(s.Clock.Now()),
	}
	if err == nil && body != nil {
		r.Body, err = frame.Encoding{}.Marshal(body)
	}
	if errors.Is(err, frame.ErrTooLarge) {
		err = s.newError(yuccahinge.CodeTooLarge, err.Error())
	}
	if err != nil {
		r.Error = frame.WireErrorOf(err)
	}
	return r
}

func (s *Server) newError(code yuccahinge.Code, message string) error {
	return &yuccahinge.Error{Code: code, Step: yuccahinge.StepPeer, Message: message}
}

func (s *Server) recordRefusal(peer, reason string) {
	if s.Recorder == nil {
		return
	}
	s.Recorder.Record(yuccahinge.Event{Code: event.PeerRefused, Peer: peer, Detail: reason})
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
