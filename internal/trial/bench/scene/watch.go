package scene

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/bench/drive"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/fleet"
)

// mark is what the counters and clocks of the machine read at the end of a phase.
type mark struct {
	at    time.Time
	total fleet.Total
	// process is the processor time of this process, busy and all that of the machine in ticks.
	process   time.Duration
	busy, all uint64
}

func takeMark(w *World) mark {
	m := mark{at: time.Now(), total: w.Fleet.Total(), process: processTime()}
	m.busy, m.all = machineTicks()
	return m
}

// watchPhases takes a mark at the start and at the end of each phase. The function that it returns
// waits for the last and returns them.
func watchPhases(ctx context.Context, w *World, phases []drive.Phase) func() []mark {
	marks := []mark{takeMark(w)}
	began := time.Now()
	var watcher sync.WaitGroup
	watcher.Go(func() {
		var end float64
		for _, p := range phases {
			end += p.Seconds
			due := began.Add(time.Duration(end * float64(time.Second)))
			select {
			case <-time.After(time.Until(due)):
			case <-ctx.Done():
			}
			marks = append(marks, takeMark(w))
		}
	})
	return func() []mark {
		watcher.Wait()
		return marks
	}
}

func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// machineTicks returns the busy and all ticks of the machine's processors; zero where they can't be read.
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
		// The fourth and fifth fields are idle time and time waiting for a device.
		if i != 3 && i != 4 {
			busy += n
		}
	}
	return busy, all
}
