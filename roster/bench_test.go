package roster

import (
	"fmt"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// BenchmarkPeriod measures the roster work of one exchange period: a tick, the choice of peers, and the deltas and
// sums of three exchanges.
func BenchmarkPeriod(b *testing.B) {
	for _, hosts := range []int{21, 210, 2100} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			r := &Roster{Self: member("h0", "x")}
			var rows []Row
			for i := 1; i < hosts; i++ {
				m := member(fmt.Sprintf("host-%04d", i), "y")
				m.Domain = yuccahinge.DomainID(fmt.Sprint("d", i%10))
				rows = append(rows, Row{Member: m, Epoch: 1})
			}
			r.MergeSync(1000, rows)
			b.ReportAllocs()
			for now := yuccahinge.Millis(2000); b.Loop(); now += 1000 {
				r.Tick(now)
				r.PickPeers(now)
				for range 3 {
					r.Delta("h9", 6)
					r.Checksum()
				}
			}
		})
	}
}
