package conn

import (
	"context"
	"net"
	"testing"
)

func TestLoopbackConnection(t *testing.T) {
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
	r := FromContext(NewContext(context.Background(), c))
	if r.OneWayMs < 0 || r.OneWayMs > 100 {
		t.Errorf("one-way delay on loopback is %g ms, want 0 to 100", r.OneWayMs)
	}
	if !r.CountRequest() || r.CountRequest() {
		t.Error("Begin does not report just the first request")
	}
	if FromContext(context.Background()).OneWayMs != 0 {
		t.Error("a context without a connection has a delay")
	}
}
