package proof

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// binaries is the directory of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(build(m))
}

func build(m *testing.M) int {
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	cmd := exec.Command("go", "build", "-o", dir, "../../../cmd/yuccahinge", "../../../cmd/standin")
	if out, err := cmd.CombinedOutput(); err != nil {
		panic(string(out))
	}
	binaries = dir
	return m.Run()
}

// process is a child of the test.
type process struct {
	name string
	cmd  *exec.Cmd
	log  lockedBuffer
	// first is the first line of standard output.
	first chan []byte
	ended chan struct{}
}

// start runs a program. The test ends it, if nothing did before.
func start(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, first: make(chan []byte, 1), ended: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(binaries, program), args...)
	p.cmd.Stderr = &p.log
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go p.watch(out)
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%s said:\n%s", name, p.log.tail())
		}
	})
	return p
}

func (p *process) watch(out io.Reader) {
	lines := bufio.NewReader(out)
	line, _ := lines.ReadBytes('\n')
	p.first <- line
	_, _ = io.Copy(&p.log, lines)
	_ = p.cmd.Wait()
	close(p.ended)
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatalf("%s: %v", p.name, err)
	}
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	err := p.cmd.Process.Kill()
	if err == nil || errors.Is(err, os.ErrProcessDone) {
		<-p.ended
	}
}

// exit waits for the process to end by itself and returns its code.
func (p *process) exit(t *testing.T) int {
	t.Helper()
	select {
	case <-p.ended:
	case <-time.After(limit):
		t.Fatalf("%s has not ended within %v", p.name, limit)
	}
	return p.cmd.ProcessState.ExitCode()
}

// lockedBuffer is a buffer for several writers.
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
	const most = 4000
	b := l.b.Bytes()
	return string(b[max(0, len(b)-most):])
}
