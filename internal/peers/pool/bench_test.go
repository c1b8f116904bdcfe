package pool

import (
	"context"
	"net"
	"testing"

	"github.com/yuccahinge/yuccahinge/internal/peers/peer"
)

// benchPeer starts a server that echoes and returns its address.
func benchPeer(b *testing.B) string {
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

func call(b *testing.B, p *Pool, addr string) {
	var got string
	if err := p.Call(context.Background(), addr, "echo", "soup", &got); err != nil {
		b.Error(err)
	}
}

func BenchmarkCall(b *testing.B) {
	addr := benchPeer(b)
	var p Pool
	defer p.Close()
	b.ReportAllocs()
	for b.Loop() {
		call(b, &p, addr)
	}
}

// BenchmarkCallDialed pays for a connection with each call, as a pool that keeps none would.
func BenchmarkCallDialed(b *testing.B) {
	addr := benchPeer(b)
	b.ReportAllocs()
	for b.Loop() {
		var p Pool
		call(b, &p, addr)
		p.Close()
	}
}

func BenchmarkCallsAtOnce(b *testing.B) {
	addr := benchPeer(b)
	var p Pool
	defer p.Close()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			call(b, &p, addr)
		}
	})
}
