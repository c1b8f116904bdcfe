package link

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"testing"
	"time"
)

// startEcho starts a server that sends back the bytes of each connection and returns its address.
func startEcho(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return ln.Addr().String()
}

func startLink(t *testing.T) (*Link, net.Conn) {
	t.Helper()
	l := &Link{ListenAddr: "127.0.0.1:0", Target: startEcho(t)}
	if err := l.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-done
	})
	c, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return l, c
}

func echo(c net.Conn) error {
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

func TestLinkRelaysAndDelays(t *testing.T) {
	l, c := startLink(t)
	l.SetFaults(Faults{DelayMs: 20})
	start := time.Now()
	if err := echo(c); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took < 40*time.Millisecond {
		t.Fatalf("a round trip took %v, want at least 40 ms", took)
	}
}

func TestCutBlocksEachDirection(t *testing.T) {
	for _, cut := range []Cut{CutToTarget, CutFromTarget, CutBoth} {
		l, c := startLink(t)
		if err := echo(c); err != nil {
			t.Fatal(err)
		}
		l.SetFaults(Faults{Cut: cut})
		_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if err := echo(c); err == nil {
			t.Fatalf("a round trip succeeded with cut %s", cut)
		}
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		l.SetFaults(Faults{})
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Fatalf("the blocked byte did not arrive after the end of cut %s: %v", cut, err)
		}
	}
}

func TestCloseConnsClosesConnections(t *testing.T) {
	l, c := startLink(t)
	if err := echo(c); err != nil {
		t.Fatal(err)
	}
	l.CloseConns()
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Fatal("the connection is still open after CloseConns")
	}
}

func TestCutDecodesBoolean(t *testing.T) {
	var f Faults
	if err := json.Unmarshal([]byte(`{"cut":true}`), &f); err != nil || f.Cut != CutBoth {
		t.Fatalf("faults %+v, error %v", f, err)
	}
}
