package avail

import (
	"math"
	"os"
	"path/filepath"
	"testing"
)

// TestSmallestLimitCounts guards against bounds for the memory of the machine where the process may use less, and against files that
// lack or can't be read.
func TestSmallestLimitCounts(t *testing.T) {
	const mb = 1 << 20
	meminfo := "MemTotal:        2097152 kB\nMemFree:  1 kB\n"
	for name, c := range map[string]struct {
		files   map[string]string
		runtime int64
		want    int64
	}{
		"nothing":        {nil, math.MaxInt64, 0},
		"machine":        {map[string]string{"proc/meminfo": meminfo}, math.MaxInt64, 2048 * mb},
		"runtime":        {map[string]string{"proc/meminfo": meminfo}, 100 * mb, 100 * mb},
		"own group":      {map[string]string{"proc/meminfo": meminfo, "proc/self/cgroup": "0::/a/b\n", "sys/fs/cgroup/a/b/memory.max": "104857600\n"}, math.MaxInt64, 100 * mb},
		"group above":    {map[string]string{"proc/meminfo": meminfo, "proc/self/cgroup": "0::/a/b\n", "sys/fs/cgroup/a/b/memory.max": "max\n", "sys/fs/cgroup/a/memory.max": "209715200\n"}, math.MaxInt64, 200 * mb},
		"container":      {map[string]string{"proc/meminfo": meminfo, "proc/self/cgroup": "0::/\n", "sys/fs/cgroup/memory.max": "104857600\n"}, math.MaxInt64, 100 * mb},
		"first version":  {map[string]string{"proc/meminfo": meminfo, "proc/self/cgroup": "5:cpu:/x\n4:memory:/x\n", "sys/fs/cgroup/memory/x/memory.limit_in_bytes": "104857600"}, math.MaxInt64, 100 * mb},
		"no limit there": {map[string]string{"proc/meminfo": meminfo, "proc/self/cgroup": "4:memory:/\n", "sys/fs/cgroup/memory/memory.limit_in_bytes": "9223372036854771712"}, math.MaxInt64, 2048 * mb},
		"odd bytes":      {map[string]string{"proc/meminfo": "MemTotal: x kB\n", "proc/self/cgroup": "::\nx\n", "sys/fs/cgroup/memory.max": "-5"}, math.MaxInt64, 0},
	} {
		root := t.TempDir()
		for path, text := range c.files {
			path = filepath.Join(root, path)
			if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if got := readAt(root, c.runtime).MemoryBytes; got != c.want {
			t.Errorf("%s: %d bytes, want %d", name, got, c.want)
		}
	}
	if l := Read(); l.MemoryBytes <= 0 || l.Descriptors <= 0 {
		t.Errorf("the limits of this process are %+v", l)
	}
}
