package intake

import (
	"bytes"
	"io"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// endless sends bytes until it is canceled.
type endless struct {
	canceled atomic.Bool
	sent     atomic.Int64
}

func (e *endless) Read(p []byte) (int, error) {
	if e.canceled.Load() {
		return 0, io.ErrClosedPipe
	}
	time.Sleep(100 * time.Microsecond)
	n := min(len(p), 2<<10)
	e.sent.Add(int64(n))
	return n, nil
}

func (e *endless) cancel() { e.canceled.Store(true) }

// pausing sends a body in pieces.
type pausing struct{ rest []byte }

func (p *pausing) Read(b []byte) (int, error) {
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	time.Sleep(20 * time.Microsecond)
	n := copy(b[:min(len(b), 8<<10)], p.rest)
	p.rest = p.rest[n:]
	return n, nil
}

// TestEndlessBodiesShareTheLimit guards against many bodies without end that take more memory together than a process has, and against
// sound large bodies that are given up for them, with a stated length or without.
func TestEndlessBodiesShareTheLimit(t *testing.T) {
	b := &Budget{MaxBytes: 4 << 20}
	stop := make(chan struct{})
	var readers sync.WaitGroup
	for i := range 40 {
		readers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				e := new(endless)
				body := &Body{Source: strings.Repeat("e", i+1), Reader: e, Length: -1, Limit: 1 << 20, Cancel: e.cancel}
				if out, err := b.Read(body); !errors.Is(err, ErrNoMemory) && !errors.Is(err, ErrTooLarge) {
					t.Errorf("%d bytes, %v", len(out), err)
				}
			}
		})
	}
	for end := time.Now().Add(10 * time.Second); b.GivenUp() < 80; runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("%d bodies were given up after 10 s", b.GivenUp())
		}
	}
	want := bytes.Repeat([]byte("large"), 200_000)
	for _, length := range []int64{-1, int64(len(want))} {
		for range 20 {
			out, err := b.Read(&Body{Source: "sound", Reader: &pausing{want}, Length: length, Limit: 1 << 20})
			if err != nil || !bytes.Equal(out, want) {
				t.Errorf("stated length %d: %d bytes, %v", length, len(out), err)
			}
			b.mu.Lock()
			if b.used > b.MaxBytes {
				t.Errorf("%d bytes are in use, the limit is %d", b.used, b.MaxBytes)
			}
			b.mu.Unlock()
		}
	}
	close(stop)
	readers.Wait()
	if b.used != 0 || len(b.counted) != 0 {
		t.Errorf("%d bytes of %d bodies are counted after the last", b.used, len(b.counted))
	}
}

// TestBodies checks the end of single bodies.
func TestBodies(t *testing.T) {
	text := strings.Repeat("x", 100<<10)
	for name, c := range map[string]struct {
		text   string
		length int64
		limit  int64
		err    error
	}{
		"empty":                     {"", 0, 10, nil},
		"empty, unknown length":     {"", -1, 10, nil},
		"small":                     {"abc", 3, 10, nil},
		"small, unknown length":     {"abc", -1, 10, nil},
		"at the limit":              {text, -1, 100 << 10, nil},
		"stated, at the limit":      {text, 100 << 10, 100 << 10, nil},
		"over the limit":            {text, -1, 100<<10 - 1, ErrTooLarge},
		"stated over the limit":     {text, 100 << 10, 100<<10 - 1, ErrTooLarge},
		"small, cut":                {"abc", 5, 10, io.ErrUnexpectedEOF},
		"large, cut":                {text, 100<<10 + 1, 1 << 20, io.ErrUnexpectedEOF},
		"longer than it has stated": {text, 50 << 10, 1 << 20, errLength},
	} {
		var b Budget
		out, err := b.Read(&Body{Source: "s", Reader: strings.NewReader(c.text), Length: c.length, Limit: c.limit})
		if !errors.Is(err, c.err) || err == nil && string(out) != c.text {
			t.Errorf("%s: %d bytes, %v, want %v", name, len(out), err, c.err)
		}
		if b.used != 0 || len(b.counted) != 0 {
			t.Errorf("%s: %d bytes are counted at the end", name, b.used)
		}
	}
}

// TestLargestAcceptedBodyFitsAlone guards against a limit that no single body may reach.
func TestLargestAcceptedBodyFitsAlone(t *testing.T) {
	const largest = 16 << 20 // the largest limit that the settings allow
	var b Budget
	out, err := b.Read(&Body{Source: "s", Reader: io.LimitReader(zeros{}, largest), Length: -1, Limit: largest})
	if err != nil || len(out) != largest || b.GivenUp() != 0 {
		t.Errorf("%d bytes, %v, %d given up", len(out), err, b.GivenUp())
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
