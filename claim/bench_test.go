package claim

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// BenchmarkCharge measures Grant, Begin and End of one claim.
func BenchmarkCharge(b *testing.B) {
	table := newTable()
	now := yuccahinge.Millis(0)
	answer := yuccahinge.ChargeAnswer{Outcome: yuccahinge.Ran, Reply: []byte(`{"receipt":"k"}`)}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 100
		grant, err := table.Grant(now, yuccahinge.ClaimRequest{Service: service, Key: fmt.Sprintf("invoice-%09d", i)})
		if err != nil {
			b.Fatal(err)
		}
		table.Begin(now, grant.Claim, service, "d")
		if err := table.End(now, grant.Claim, answer); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkMemory measures the heap bytes per stored claim with a reply of 200 bytes.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{4096, 16384, 65536} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				table := filledTable(b, n)
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/claim")
				runtime.KeepAlive(table)
			}
		})
	}
}

func filledTable(b *testing.B, n int) *Table {
	table := newTable()
	for i := range n {
		grant, err := table.Grant(0, yuccahinge.ClaimRequest{Service: service, Key: fmt.Sprintf("invoice-%09d", i)})
		if err != nil {
			b.Fatal(err)
		}
		digest := yuccahinge.BodyDigest(fmt.Sprintf("%064d", i))
		table.Begin(0, grant.Claim, service, digest)
		if err := table.End(0, grant.Claim, yuccahinge.ChargeAnswer{Outcome: yuccahinge.Ran, Reply: make([]byte, 200)}); err != nil {
			b.Fatal(err)
		}
	}
	return table
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
