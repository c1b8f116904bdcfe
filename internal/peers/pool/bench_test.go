package pool

import (
	"context"
	"net"
	"testing"

	"github.com/yuccahinge/yuccahinge/internal/peers/peer"
)

// startEchoServer starts a server with an echo method and returns its address.
func startEchoServer(b *testing.B) string {
	b.Helper()
	var s peer.Server
	s.Handle("echo", echo)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	return l.Addr().String()
}

func callEcho(b *testing.B, p *Pool, addr string) {
	var got string
	if err := p.Call(context.Background(), addr, "echo", "soup", &got); err != nil {
		b.Error(err)
	}
}

func BenchmarkCall(b *testing.B) {
	addr := startEchoServer(b)
	var p Pool
	defer p.Close()
	b.ReportAllocs()
	for b.Loop() {
		callEcho(b, &p, addr)
	}
}

// BenchmarkCallDialed opens a new connection for each call, as without pooling.
func BenchmarkCallDialed(b *testing.B) {
	addr := startEchoServer(b)
	b.ReportAllocs()
	for b.Loop() {
		var p Pool
		callEcho(b, &p, addr)
		p.Close()
	}
}

func BenchmarkCallsAtOnce(b *testing.B) {
	addr := startEchoServer(b)
	var p Pool
	defer p.Close()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			callEcho(b, &p, addr)
		}
	})
}
