package search

import (
	"bytes"
	"sync"
)

// maxPooled is the largest capacity in bytes of a buffer that is returned to the pool.
const maxPooled = 64 << 10

var buffers = sync.Pool{New: func() any { return new(buffer) }}

// buffer holds the body of a reply and is reused through a pool.
type buffer struct{ bytes.Buffer }

// recycle returns the buffer to the pool. It must not be used afterwards.
func (b *buffer) recycle() {
	if b.Cap() > maxPooled {
		return
	}
	b.Reset()
	buffers.Put(b)
}
