package pool

import (
	"context"
	"fmt"
	"testing"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/peer"
)

// BenchmarkCall measures a call that brings back the merged hits of some shards.
func BenchmarkCall(b *testing.B) {
	for _, hits := range []int{1, 50, 200, 460} {
		b.Run(fmt.Sprintf("hits=%d", hits), func(b *testing.B) {
			reply := make([]yuccahinge.Hit, hits)
			for i := range reply {
				reply[i] = yuccahinge.Hit{ID: yuccahinge.DocumentID(fmt.Sprintf("document-%06d", i)), Score: 0.5, Doc: make([]byte, 100)}
			}
			var s peer.Server
			s.Handle("hits", func(context.Context, func(any) error) (any, error) { return reply, nil })
			addr := serve(b, &s)
			var p Pool
			defer p.Close()
			b.ReportAllocs()
			for b.Loop() {
				var got []yuccahinge.Hit
				if err := p.Call(b.Context(), addr, "hits", struct{}{}, &got); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
