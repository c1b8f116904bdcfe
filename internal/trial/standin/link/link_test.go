package link

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"testing"
	"time"
)

// startEcho answers each connection with its own bytes.
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
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-ended
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
	l.Fault(Faults{DelayMs: 20})
	began := time.Now()
	if err := echo(c); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took < 40*time.Millisecond {
		t.Fatalf("a round trip took %v", took)
	}
}

func TestCutHoldsEachDirection(t *testing.T) {
	for _, cut := range []Cut{CutThere, CutBack, CutBoth} {
		l, c := startLink(t)
		if err := echo(c); err != nil {
			t.Fatal(err)
		}
		l.Fault(Faults{Cut: cut})
		_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if err := echo(c); err == nil {
			t.Fatalf("cut %s carried bytes", cut)
		}
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		l.Fault(Faults{})
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Fatalf("mended %s: %v", cut, err)
		}
	}
}

func TestResetCloses(t *testing.T) {
	l, c := startLink(t)
	if err := echo(c); err != nil {
		t.Fatal(err)
	}
	l.Reset()
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Fatal("the connection is open")
	}
}

func TestCutTakesBoolean(t *testing.T) {
	var f Faults
	if err := json.Unmarshal([]byte(`{"cut":true}`), &f); err != nil || f.Cut != CutBoth {
		t.Fatalf("faults %+v, error %v", f, err)
	}
}
