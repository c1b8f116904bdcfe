// Package avail reads how much memory and how many open files the process may use.
package avail

import (
	"bufio"
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// Limits are limits of the process. A limit that is zero is not known.
type Limits struct {
	// MemoryBytes is the smallest of the machine's memory, the limits of the control groups of the process and that of the Go
	// runtime (GOMEMLIMIT).
	MemoryBytes int64
	// Descriptors is the limit of open files.
	Descriptors int
}

// Read returns the limits of this process.
func Read() Limits { return readAt("/", debug.SetMemoryLimit(-1)) }

// readAt reads the limits from the files below a root directory and from the limit of the Go runtime, math.MaxInt64 for none.
func readAt(root string, runtimeBytes int64) Limits {
	var l Limits
	l.addMemory(machineBytes(filepath.Join(root, "proc/meminfo")))
	for _, path := range controlGroups(root) {
		l.addMemory(bytesIn(path))
	}
	if runtimeBytes < math.MaxInt64 {
		l.addMemory(runtimeBytes)
	}
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err == nil && files.Cur < math.MaxInt32 {
		l.Descriptors = int(files.Cur)
	}
	return l
}

// addMemory takes a limit of the memory into account, unless it is zero.
func (l *Limits) addMemory(n int64) {
	if n > 0 && (l.MemoryBytes == 0 || n < l.MemoryBytes) {
		l.MemoryBytes = n
	}
}

// machineBytes returns the memory that a file like /proc/meminfo names; zero if it can't be read.
func machineBytes(path string) int64 {
	f, err := os.Open(path)
	if err != nil {
		return 0
	}
	defer f.Close()
	for in := bufio.NewScanner(f); in.Scan(); {
		fields := strings.Fields(in.Text())
		if len(fields) == 3 && fields[0] == "MemTotal:" && fields[2] == "kB" {
			n, _ := strconv.ParseInt(fields[1], 10, 64) // zero if malformed
			return n << 10
		}
	}
	return 0
}

// controlGroups returns the files that may hold the memory limits of the control groups of this process, of both versions.
func controlGroups(root string) []string {
	text, err := os.ReadFile(filepath.Join(root, "proc/self/cgroup"))
	if err != nil {
		return nil
	}
	var out []string
	for line := range strings.Lines(string(text)) {
		// A line has the number of a hierarchy, its controllers and the path of the group.
		fields := strings.SplitN(strings.TrimSpace(line), ":", 3)
		if len(fields) != 3 {
			continue
		}
		dir, file := "", ""
		switch {
		case fields[1] == "":
			dir, file = "sys/fs/cgroup", "memory.max"
		case fields[1] == "memory":
			dir, file = "sys/fs/cgroup/memory", "memory.limit_in_bytes"
		default:
			continue
		}
		// The limits of all groups above hold as well. In a container the own group may be mounted as the root.
		for group := filepath.Clean("/" + fields[2]); ; group = filepath.Dir(group) {
			out = append(out, filepath.Join(root, dir, group, file))
			if group == "/" {
				break
			}
		}
	}
	return out
}

// bytesIn returns the number in a file; zero if there is none.
func bytesIn(path string) int64 {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	n, _ := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64) // zero for "max"
	return n
}
