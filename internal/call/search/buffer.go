package search

import (
	"bytes"
	"sync"
)

// maxPooled bounds the size of a buffer that is kept, in bytes.
const maxPooled = 64 << 10

var buffers = sync.Pool{New: func() any { return new(buffer) }}

// buffer is a reply's body from a pool.
type buffer struct{ bytes.Buffer }

func (b *buffer) free() {
	if b.Cap() > maxPooled {
		return
	}
	b.Reset()
	buffers.Put(b)
}
