// Package crowd tests the real programs against uncontrolled callers: processes of
// `currantladder serve` and `currantladder gateway` on loopback, one at a time. The tests
// check only what does not depend on the speed of the machine: the process lives, its
// memory and open descriptors stay under a bound, and an ordinary request is answered
// afterwards.
package crowd

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// hangTimeout is how long a process may take for a step before the test counts it as hung.
// It is far above what a step takes, so that the speed of the machine does not matter.
const hangTimeout = 90 * time.Second

// programPath is the program that TestMain has built.
var programPath string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programPath = filepath.Join(dir, "currantladder")
	if out, err := exec.Command("go", "build", "-o", programPath, "../../cmd/currantladder").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is one running node.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
	// stopSampling ends the look at descriptors; most is the largest number seen.
	stopSampling chan struct{}
	mu           sync.Mutex
	most         int
}

// startProcess starts a node with at most maxDescriptors open descriptors.
func startProcess(t *testing.T, maxDescriptors int, args ...string) *process {
	t.Helper()
	limited := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, maxDescriptors)
	p := &process{command: exec.Command("/bin/sh", append([]string{"-c", limited, programPath}, args...)...), exited: make(chan struct{}), stopSampling: make(chan struct{})}
	var output bytes.Buffer
	p.command.Stdout, p.command.Stderr = &output, &output
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait() // the tests look at the state
		close(p.exited)
	}()
	go p.sampleDescriptors()
	t.Cleanup(func() {
		_ = p.command.Process.Kill() // fails if the process has ended
		<-p.exited
		close(p.stopSampling)
		if t.Failed() {
			text := output.String()
			t.Logf("last output:\n%s", text[max(0, len(text)-600):])
		}
	})
	return p
}

func (p *process) sampleDescriptors() {
	for ticker := time.NewTicker(50 * time.Millisecond); ; {
		select {
		case <-p.stopSampling:
			ticker.Stop()
			return
		case <-ticker.C:
			// An error means that the process has ended.
			entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
			p.mu.Lock()
			p.most = max(p.most, len(entries))
			p.mu.Unlock()
		}
	}
}

func (p *process) lives() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// stop ends the process as a planned stop does.
func (p *process) stop(t *testing.T) {
	t.Helper()
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatalf("stop: %v", err)
	}
	select {
	case <-p.exited:
	case <-time.After(hangTimeout):
		t.Fatal("the process hangs in its stop")
	}
	if !p.command.ProcessState.Success() {
		t.Errorf("got %v after a planned stop, want success", p.command.ProcessState)
	}
}

// peakMemory returns the most memory that the process has had, in bytes.
func (p *process) peakMemory(t *testing.T) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(value, "kB")), 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return kilobytes << 10
		}
	}
	t.Fatal("the process has ended")
	return 0
}

func (p *process) mostDescriptors() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.most
}
