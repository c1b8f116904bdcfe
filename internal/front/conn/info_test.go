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
	info := FromContext(NewContext(context.Background(), c))
	if info.OneWayMs < 0 || info.OneWayMs > 100 {
		t.Errorf("one-way delay on loopback is %g ms, want 0 to 100", info.OneWayMs)
	}
	if !info.CountRequest() || info.CountRequest() {
		t.Error("CountRequest does not report true for the first request only")
	}
	if FromContext(context.Background()).OneWayMs != 0 {
		t.Error("a context without a connection has a delay")
	}
}
