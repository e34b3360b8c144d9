package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// node runs one node of the system as a separate process and sends it signals.
type node struct {
	name          string
	callerAddress string
	readyAddress  string
	settingsPath  string
	programPath   string
	log           *os.File
	// storeRelay carries all connections of this node to the store.
	storeRelay *relay

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	paused  bool
	// ending is true from a terminating signal to the next start.
	ending    bool
	startedAt time.Time
	// starts are the times of all starts.
	starts []time.Time
	// onOwnEnd is called when the process ends without a terminating signal.
	onOwnEnd func(state *os.ProcessState)
}

// Node ports are below the range from which the kernel assigns ports to other
// listeners, and each seed has its own block of ports. Otherwise another
// listener or a concurrent run could take the port of a node that is down.
const (
	firstPort             = 10000
	portsPerSeed          = 40
	seedBlocks            = 500
	portsPerNode          = 3
	maxNodes              = portsPerSeed / portsPerNode
	loopbackAddressFormat = "127.0.0.1:%d"
)

// portAddress returns the loopback address of one of a node's ports.
func portAddress(seed int64, node, port int) string {
	return fmt.Sprintf(loopbackAddressFormat, firstPort+int(seed%seedBlocks)*portsPerSeed+node*portsPerNode+port)
}

const nodeSettingsFormat = `[node]
name = %s
failure_domain = z%d
first_start = %t
stop_time = 8s
[listen]
callers = %s
ready = %s
peers = %s
[store]
address = %s
[retry]
ratio = 0.2
slack = 130
`

// coldSettings limit what nodes send to cold hosts.
const coldSettings = `[cold]
over = %g
slack = %g
`

// newNode writes the settings file of a node, opens its log and starts its
// relay to the store. It does not start the process.
func newNode(o Options, index int, storeAddress string, cold bool) (*node, error) {
	var addresses [portsPerNode]string
	for i := range addresses {
		addresses[i] = portAddress(o.Seed, index, i)
	}
	storeRelay, err := newRelay(storeAddress)
	if err != nil {
		return nil, fmt.Errorf("start the relay to the store: %w", err)
	}
	n := &node{name: fmt.Sprintf("node%d", index), callerAddress: addresses[0], readyAddress: addresses[1], programPath: o.ProgramPath, storeRelay: storeRelay}
	n.settingsPath = filepath.Join(o.Dir, n.name+".ini")
	content := fmt.Sprintf(nodeSettingsFormat, n.name, index%3, true, addresses[0], addresses[1], addresses[2], storeRelay.address())
	if cold {
		content += fmt.Sprintf(coldSettings, coldOver, coldSlack)
	}
	if err := os.WriteFile(n.settingsPath, []byte(content), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	if n.log, err = os.Create(filepath.Join(o.Dir, n.name+".log")); err != nil {
		return nil, fmt.Errorf("open the log: %w", err)
	}
	return n, nil
}

// start starts the process unless it is running.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		return nil
	}
	command := exec.Command(n.programPath, "gateway", "--settings", n.settingsPath)
	command.Stdout, command.Stderr = n.log, n.log
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", n.name, err)
	}
	n.starts = append(n.starts, time.Now())
	exited := make(chan struct{})
	n.command, n.exited, n.paused, n.ending, n.startedAt = command, exited, false, false, time.Now()
	go func() {
		// The exit status is ignored: a killed process is no error here, and
		// its output is in the log.
		_ = command.Wait()
		n.mu.Lock()
		ownEnd := !n.ending
		n.mu.Unlock()
		if ownEnd {
			n.onOwnEnd(command.ProcessState)
		}
		close(exited)
	}()
	return nil
}

// startedWithin reports whether the process was started in a span of time.
func (n *node) startedWithin(from, to time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.starts, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// reloadAfterStart is how long after its start a process gets no SIGHUP, which ends a process
// that has not reached its first statement.
const reloadAfterStart = 500 * time.Millisecond

// signal sends a signal to the process if it has been started.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil || (s == syscall.SIGHUP && time.Since(n.startedAt) < reloadAfterStart) {
		return
	}
	n.paused = s == syscall.SIGSTOP
	// The error is ignored: the process may just have exited.
	_ = n.command.Process.Signal(s)
}

// terminate sends a terminating signal to the process and waits until it exits.
// It kills the process after the timeout and then returns false.
func (n *node) terminate(s syscall.Signal, timeout time.Duration) bool {
	n.mu.Lock()
	command, exited, paused := n.command, n.exited, n.paused
	n.ending = true
	n.mu.Unlock()
	if command == nil {
		return true
	}
	if paused {
		n.signal(syscall.SIGCONT)
	}
	n.signal(s)
	inTime := true
	select {
	case <-exited:
	case <-time.After(timeout):
		inTime = false
		n.signal(syscall.SIGKILL)
		<-exited
	}
	n.mu.Lock()
	n.command = nil
	n.mu.Unlock()
	return inTime
}

// clearFirstStart changes first_start in the settings to false, because the
// fleet has run before.
func (n *node) clearFirstStart() error {
	content, err := os.ReadFile(n.settingsPath)
	if err != nil {
		return err
	}
	changed := []byte(replaceOnce(string(content), "first_start = true", "first_start = false"))
	return os.WriteFile(n.settingsPath, changed, 0o600)
}
