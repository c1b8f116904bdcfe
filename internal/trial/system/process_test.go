package system

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// binDir is the directory of the compiled programs under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	cmd := exec.Command("go", "build", "-o", dir, "../../../cmd/yuccahinge", "../../../cmd/standin")
	if out, err := cmd.CombinedOutput(); err != nil {
		panic(string(out))
	}
	binDir = dir
	return m.Run()
}

// process is a child process of the test.
type process struct {
	name string
	cmd  *exec.Cmd
	log  lockedBuffer
	// firstLine receives the first line of standard output, which is empty if there is none.
	firstLine chan []byte
	ended     chan struct{}
}

// startProcess starts a program. The cleanup of the test kills it if it is still running.
func startProcess(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, firstLine: make(chan []byte, 1), ended: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(binDir, program), args...)
	p.cmd.Stderr = &p.log
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go p.readOutput(out)
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("output of %s:\n%s", name, p.log.tail())
		}
	})
	return p
}

func (p *process) readOutput(out io.Reader) {
	lines := bufio.NewReader(out)
	line, _ := lines.ReadBytes('\n')
	p.firstLine <- line
	_, _ = io.Copy(&p.log, lines)
	_ = p.cmd.Wait()
	close(p.ended)
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatalf("%s: %v", p.name, err)
	}
	if s == syscall.SIGSTOP {
		p.awaitStopped(t)
	}
}

// awaitStopped waits until no thread of the process runs: on a busy machine they go on for some milliseconds after SIGSTOP was sent.
func (p *process) awaitStopped(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); p.hasRunningThread(t); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s still runs 5 s after SIGSTOP", p.name)
		}
	}
}

func (p *process) hasRunningThread(t *testing.T) bool {
	t.Helper()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(files) == 0 {
		t.Fatalf("%s: no threads found, %v", p.name, err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		// The state follows the name, which is in parentheses.
		if i := bytes.LastIndexByte(text, ')'); i < 0 || !bytes.HasPrefix(text[i:], []byte(") T")) {
			return true
		}
	}
	return false
}

// kill kills the process and waits until it has ended.
func (p *process) kill() {
	err := p.cmd.Process.Kill()
	if err == nil || errors.Is(err, os.ErrProcessDone) {
		<-p.ended
	}
}

// waitForExit waits until the process exits by itself and returns its exit code.
func (p *process) waitForExit(t *testing.T) int {
	t.Helper()
	select {
	case <-p.ended:
	case <-time.After(waitLimit):
		t.Fatalf("%s has not exited within %v", p.name, waitLimit)
	}
	return p.cmd.ProcessState.ExitCode()
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// tail returns the end of what was written.
func (l *lockedBuffer) tail() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	const maxBytes = 4000
	b := l.b.Bytes()
	return string(b[max(0, len(b)-maxBytes):])
}
