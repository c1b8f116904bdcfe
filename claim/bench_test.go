package claim

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// BenchmarkCharge measures one claim from its grant to its end.
func BenchmarkCharge(b *testing.B) {
	tab := newTable()
	now := yuccahinge.Millis(0)
	answer := yuccahinge.ChargeAnswer{Outcome: yuccahinge.Ran, Reply: []byte(`{"receipt":"k"}`)}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 100
		g, err := tab.Grant(now, yuccahinge.ClaimRequest{Service: service, Key: fmt.Sprintf("invoice-%09d", i)})
		if err != nil {
			b.Fatal(err)
		}
		tab.Begin(now, g.Claim, service, "d")
		if err := tab.End(now, g.Claim, answer); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkMemory measures what a remembered claim with a reply of 200 bytes takes.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{4096, 16384, 65536} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				tab := filled(b, n)
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/claim")
				runtime.KeepAlive(tab)
			}
		})
	}
}

func filled(b *testing.B, n int) *Table {
	tab := newTable()
	for i := range n {
		g, err := tab.Grant(0, yuccahinge.ClaimRequest{Service: service, Key: fmt.Sprintf("invoice-%09d", i)})
		if err != nil {
			b.Fatal(err)
		}
		digest := yuccahinge.BodyDigest(fmt.Sprintf("%064d", i))
		tab.Begin(0, g.Claim, service, digest)
		if err := tab.End(0, g.Claim, yuccahinge.ChargeAnswer{Outcome: yuccahinge.Ran, Reply: make([]byte, 200)}); err != nil {
			b.Fatal(err)
		}
	}
	return tab
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
