package suite

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/bench/fleet"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/load"
)

// snapshot holds the fleet's counters and the CPU time of the process and the machine at one instant.
type snapshot struct {
	at    time.Time
	total fleet.Total
	// process is the CPU time of this process. The fields busy and all are the CPU time of the machine in ticks.
	process   time.Duration
	busy, all uint64
}

func takeSnapshot(t *Testbed) snapshot {
	s := snapshot{at: time.Now(), total: t.Fleet.Total(), process: processTime()}
	s.busy, s.all = machineTicks()
	return s
}

// snapshotPhases takes a snapshot now and one at the end of each phase. The returned function waits for the last one and
// returns all of them.
func snapshotPhases(ctx context.Context, t *Testbed, phases []load.Phase) func() []snapshot {
	snapshots := []snapshot{takeSnapshot(t)}
	start := time.Now()
	var sampler sync.WaitGroup
	sampler.Go(func() {
		var end float64
		for _, p := range phases {
			end += p.Seconds
			due := start.Add(time.Duration(end * float64(time.Second)))
			select {
			case <-time.After(time.Until(due)):
			case <-ctx.Done():
			}
			snapshots = append(snapshots, takeSnapshot(t))
		}
	})
	return func() []snapshot {
		sampler.Wait()
		return snapshots
	}
}

func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// machineTicks returns the busy and total CPU ticks of the machine since boot, or zeros if /proc/stat can't be read.
func machineTicks() (busy, all uint64) {
	f, err := os.Open("/proc/stat")
	if err != nil {
		return 0, 0
	}
	defer func() { _ = f.Close() }()
	lines := bufio.NewScanner(f)
	if !lines.Scan() {
		return 0, 0
	}
	for i, field := range strings.Fields(lines.Text())[1:] {
		var n uint64
		if _, err := fmt.Sscan(field, &n); err != nil {
			return 0, 0
		}
		all += n
		// The fourth and fifth fields are idle time and time waiting for I/O.
		if i != 3 && i != 4 {
			busy += n
		}
	}
	return busy, all
}
