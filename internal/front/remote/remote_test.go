package remote

import (
	"context"
	"net"
	"testing"
)

func TestRemoteOfALoopbackConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r := Of(Context(context.Background(), c))
	if r.WayMs < 0 || r.WayMs > 100 {
		t.Errorf("a packet takes %g ms on loopback", r.WayMs)
	}
	if !r.Begin() || r.Begin() {
		t.Error("only the first request is the first")
	}
	if Of(context.Background()).WayMs != 0 {
		t.Error("a context without a connection has a way")
	}
}
