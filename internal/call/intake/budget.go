// Package intake limits the memory of the response bodies that all calls of a process read at the same time.
package intake

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// DefaultMaxBytes is the limit of a Budget without one, in bytes.
	DefaultMaxBytes = 24 << 20
	// freeBytes is the size in bytes up to which a body is not counted.
	freeBytes = 16 << 10
	// firstBuffer is the size in bytes of the first buffer of a body of unknown length.
	firstBuffer = 4 << 10
	// maxSources bounds the sources whose strikes are kept.
	maxSources = 4096
)

var (
	// ErrNoMemory reports that a body was given up because all bodies together exceeded the limit.
	ErrNoMemory = errors.New("the response bodies in progress exceed their memory limit")
	// ErrTooLarge reports that a body exceeds its own limit.
	ErrTooLarge = errors.New("response body exceeds its limit")
	errLength   = errors.New("response body exceeds its stated length")
)

// Budget limits the bytes of the bodies that are being read. If a body would exceed the limit, one is given up: of those from the
// sources that were given up most often since they last sent a large body to its end, the oldest, and those without a stated length
// before all others. So sources that send without end don't keep others from sending large bodies, which take less time. The zero
// value is ready to use. It is safe for concurrent use.
type Budget struct {
	// MaxBytes is the limit in bytes; DefaultMaxBytes if it is not positive.
	MaxBytes int64

	mu       sync.Mutex
	used     int64
	counted  map[*Body]bool
	strikes  map[string]int
	bodies   uint64 // number of bodies that were counted
	givenUps uint64
}

// Body describes one body to read. All fields but Cancel must be set.
type Body struct {
	// Source names the sender.
	Source string
	Reader io.Reader
	// Length is the stated length in bytes; negative if it is unknown.
	Length int64
	// Limit is the largest accepted length in bytes.
	Limit int64
	// Cancel, if set, ends a read in progress. It is called if the body is given up, in a goroutine of its own.
	Cancel func()

	held      int64
	order     uint64 // of the first time that it was counted
	isGivenUp bool
}

// GivenUp returns how many bodies were given up for want of memory.
func (b *Budget) GivenUp() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.givenUps
}

// Read reads a whole body. It fails with ErrTooLarge if the body exceeds its limit, and with ErrNoMemory if it is given up.
func (b *Budget) Read(body *Body) ([]byte, error) {
	if body.Length > body.Limit {
		return nil, ErrTooLarge
	}
	if 0 <= body.Length && body.Length <= freeBytes {
		out := make([]byte, body.Length)
		_, err := io.ReadFull(body.Reader, out)
		return out, err
	}
	out, err := b.readGrowing(body)
	if b.release(body, err == nil) {
		return nil, ErrNoMemory
	}
	if errors.Is(err, ErrTooLarge) {
		b.strike(body.Source)
	}
	return out, err
}

// readGrowing reads into a buffer that grows with the bytes that arrive, since a stated length may not be kept.
func (b *Budget) readGrowing(body *Body) ([]byte, error) {
	buf := make([]byte, 0, firstSize(body))
	for {
		n, err := body.Reader.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > body.Limit:
			return nil, ErrTooLarge
		case body.Length >= 0 && int64(len(buf)) > body.Length:
			return nil, errLength
		case err == io.EOF && body.Length >= 0 && int64(len(buf)) < body.Length:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return buf, nil
		case err != nil:
			return nil, err
		case len(buf) < cap(buf):
			continue
		}
		size := min(2*int64(cap(buf)), body.Limit+1)
		if body.Length >= 0 {
			size = min(size, body.Length+1) // one more, so that the end is read without another buffer
		}
		if !b.reserve(body, size) {
			return nil, ErrNoMemory
		}
		next := make([]byte, len(buf), size)
		copy(next, buf)
		buf = next
	}
}

// firstSize returns the size of the first buffer for a body.
func firstSize(body *Body) int64 {
	if body.Length >= 0 {
		return min(body.Length+1, freeBytes)
	}
	return min(firstBuffer, body.Limit+1)
}

// reserve counts a body with a size in bytes, and gives up others as long as the limit is exceeded. It reports false if the body itself
// is given up.
func (b *Budget) reserve(body *Body, size int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if body.isGivenUp {
		return false
	}
	if size <= freeBytes {
		return true
	}
	if b.counted == nil {
		b.counted = make(map[*Body]bool)
	}
	if !b.counted[body] {
		b.counted[body] = true
		b.bodies++
		body.order = b.bodies
	}
	b.used += size - body.held
	body.held = size
	for b.used > b.maxBytes() && !body.isGivenUp {
		b.giveUp(b.worst())
	}
	return !body.isGivenUp
}

// worst returns the body to give up. The caller holds the lock.
func (b *Budget) worst() *Body {
	var out *Body
	for body := range b.counted {
		if out == nil || b.isWorse(body, out) {
			out = body
		}
	}
	return out
}

func (b *Budget) isWorse(x, y *Body) bool {
	if hasLength := x.Length >= 0; hasLength != (y.Length >= 0) {
		return !hasLength
	}
	if n, m := b.strikes[x.Source], b.strikes[y.Source]; n != m {
		return n > m
	}
	return x.order < y.order
}

// giveUp gives up a body. The caller holds the lock.
func (b *Budget) giveUp(body *Body) {
	body.isGivenUp = true
	b.used -= body.held
	delete(b.counted, body)
	b.givenUps++
	b.addStrike(body.Source)
	if body.Cancel != nil {
		go body.Cancel()
	}
}

// release ends the count of a body, and reports whether it was given up.
func (b *Budget) release(body *Body, isComplete bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if body.isGivenUp {
		return true
	}
	if b.counted[body] {
		b.used -= body.held
		delete(b.counted, body)
		if isComplete {
			delete(b.strikes, body.Source)
		}
	}
	return false
}

func (b *Budget) strike(source string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addStrike(source)
}

// addStrike counts a body of a source that was not read to its end. The caller holds the lock.
func (b *Budget) addStrike(source string) {
	if b.strikes == nil {
		b.strikes = make(map[string]int)
	}
	if len(b.strikes) >= maxSources && b.strikes[source] == 0 {
		clear(b.strikes)
	}
	b.strikes[source]++
}

func (b *Budget) maxBytes() int64 {
	if b.MaxBytes > 0 {
		return b.MaxBytes
	}
	return DefaultMaxBytes
}
