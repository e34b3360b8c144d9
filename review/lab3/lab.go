//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/standin/loopback"
	"currantladder.example/currantladder/platform/standin"
)

const (
	// gatewayProgram is built by the deploy file's build line.
	gatewayProgram = "target/currantladder"
	// readyTimeout is how long the deployment may take to become ready.
	readyTimeout = 20 * time.Second
	// graceS is the time from SIGTERM to SIGKILL.
	graceS = 8
	// heartbeat is the interval of a worker's registrations; an entry lapses after three of them.
	heartbeat = 1200 * time.Millisecond
)

// lab is one run of a case: the processes that it started, and its record.
type lab struct {
	dir     string
	trouble bool
	store   *standin.Store
	address string
	started time.Time

	mu     sync.Mutex
	record *os.File
	broken []string
	procs  []*process
	nodes  []*node
}

// process is a process that this run started.
type process struct {
	*exec.Cmd
	name string
	done chan struct{}
}

// node is one gateway process.
type node struct {
	*process
	name, callers, ready, metrics, log string
}

// notRunError ends a case that could not run.
type notRunError struct{ error }

func runCase(run func(*lab), recordPath string) (status int) {
	dir, err := os.MkdirTemp("", "lab3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	l := &lab{dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: standin.NewStore(), record: record, started: time.Now()}
	defer l.endProcesses()
	defer func() {
		if cause := recover(); cause != nil {
			failed, ok := cause.(notRunError)
			if !ok {
				panic(cause)
			}
			l.note("the case could not run: %v", failed)
			l.keepLogs()
			status = exitNotRun
		}
	}()
	l.startStore()
	l.note("disruption: %t", l.trouble)
	run(l)
	for _, b := range l.broken {
		l.note("RULE BROKEN: %s", b)
	}
	l.note("rule broken %d times", len(l.broken))
	if len(l.broken) > 0 {
		return exitBroken
	}
	return exitHeld
}

// fail ends a case that could not run.
func (l *lab) fail(format string, args ...any) { panic(notRunError{fmt.Errorf(format, args...)}) }

// note writes a line with the time since the start to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = l.record.WriteString(line)
	if strings.Contains(line, "RULE BROKEN") || strings.Contains(line, "could not run") {
		fmt.Print(line)
	}
}

// breakRule records that the rule was broken.
func (l *lab) breakRule(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

// keepLogs prints the end of the logs of the nodes of a case that could not run.
func (l *lab) keepLogs() {
	for _, n := range l.nodes {
		content, _ := os.ReadFile(n.log)
		fmt.Printf("== %s\n%s\n", n.name, content[max(0, len(content)-2000):])
	}
}

// freeAddresses returns loopback addresses that nothing listens on.
func (l *lab) freeAddresses(n int) []string {
	addresses, err := loopback.FreeAddresses(n)
	if err != nil {
		l.fail("find free ports: %w", err)
	}
	return addresses
}

func (l *lab) startStore() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		l.fail("listen for the store: %w", err)
	}
	l.address = listener.Addr().String()
	go http.Serve(listener, l.store)
}

// start starts a process that is ended with the case.
func (l *lab) start(name, log string, env []string, program string, args ...string) *process {
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), env...)
	out, err := os.Create(log)
	if err != nil {
		l.fail("create the log of %s: %w", name, err)
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		l.fail("start %s: %w", name, err)
	}
	p := &process{Cmd: cmd, name: name, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		out.Close()
		close(p.done)
	}()
	l.mu.Lock()
	l.procs = append(l.procs, p)
	l.mu.Unlock()
	return p
}

// endProcesses kills what still runs.
func (l *lab) endProcesses() {
	for _, p := range l.procs {
		select {
		case <-p.done:
		default:
			_ = p.Process.Kill()
			<-p.done
		}
	}
}

// nodeSettings renders platform/node.ini.tmpl with the bounds of a small deployment.
func (l *lab) nodeSettings(n *node, zone string, peers string, firstStart bool) string {
	return fmt.Sprintf(`[node]
name = %s
region = great-lakes
failure_domain = %s
first_start = %t
memory_mb = 284
processor_share = 0.4
stop_time = %ds

[listen]
callers = %s
ready = %s
peers = %s
metrics = %s

[store]
address = %s

[retry]
ratio = 0.2
slack = 132

[cold]
over = 
slack = 
`, n.name, zone, firstStart, graceS, n.callers, n.ready, peers, n.metrics, l.address)
}

// startNodes starts gateways in the given zones and waits until all are ready.
func (l *lab) startNodes(zones ...string) {
	for i, zone := range zones {
		a := l.freeAddresses(4)
		n := &node{name: fmt.Sprintf("front-%s-%d", zone, i+1), callers: a[0], ready: a[1], metrics: a[3]}
		n.log = filepath.Join(l.dir, n.name+".log")
		settings := filepath.Join(l.dir, n.name+".ini")
		if err := os.WriteFile(settings, []byte(l.nodeSettings(n, zone, a[2], true)), 0o600); err != nil {
			l.fail("write settings: %w", err)
		}
		n.process = l.start(n.name, n.log, []string{"CURRANTLADDER_BOOT=" + settings}, gatewayProgram, "gateway")
		l.nodes = append(l.nodes, n)
	}
	deadline := time.Now().Add(readyTimeout)
	for _, n := range l.nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				l.fail("%s did not become ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
		l.note("%s is ready", n.name)
	}
}

func (n *node) isReady() bool {
	response, err := http.Get("http://" + n.ready + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
