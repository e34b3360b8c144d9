//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"currantladder.example/currantladder/platform/standin"
)

// Bounds of the installation lsac-bookings that the cases use.
const (
	stableTime = 3 * time.Second
	drainTime  = 2 * time.Second
)

// lab holds the store, the processes and the record of one case.
type lab struct {
	// trouble is false for a run without the disruption.
	trouble bool
	started time.Time
	dir     string
	store   *standin.Store
	storeAt string

	mu       sync.Mutex
	out      *os.File
	commands []*exec.Cmd
	exits    map[*exec.Cmd]chan struct{}
	runs     []workerRun
	workers  map[string]*workerProcess
}

// workerRun is one run of a request, as a worker reports it.
type workerRun struct {
	worker, request string
	at              time.Time
}

func newLab(folder string) (*lab, error) {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	l := &lab{
		trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), dir: dir, store: standin.NewStore(), out: out,
		exits: map[*exec.Cmd]chan struct{}{}, workers: map[string]*workerProcess{},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.storeAt = listener.Addr().String()
	go func() { _ = http.Serve(listener, l.store) }()
	l.record("trouble: %v", l.trouble)
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Fprintln(os.Stderr, "logs in", dir)
	}
	return l, nil
}

// record writes a line with the time since the start of the case.
func (l *lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.out, "%8.3f %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// start starts a process and closes the returned channel when it has ended.
func (l *lab) start(command *exec.Cmd) (exited chan struct{}, err error) {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, err
	}
	exited = make(chan struct{})
	l.mu.Lock()
	l.commands = append(l.commands, command)
	l.exits[command] = exited
	l.mu.Unlock()
	return exited, nil
}

// close kills all processes of the case and removes its temporary folder.
func (l *lab) close() {
	l.mu.Lock()
	commands := l.commands
	l.mu.Unlock()
	for _, c := range commands {
		_ = c.Process.Kill() // it may have ended already
		<-l.exits[c]
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(l.dir)
	}
}

// runsAt returns the runs that a worker reported.
func (l *lab) runsAt(worker string) []workerRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	var runs []workerRun
	for _, r := range l.runs {
		if r.worker == worker {
			runs = append(runs, r)
		}
	}
	return runs
}

// gateway is one process of the system.
type gateway struct {
	*lab
	name, callers, ready string
	settings             string
	link                 *link
	command              *exec.Cmd
	exited               chan struct{}
}

const settingsFormat = `[node]
name = %s
region = great-lakes
failure_domain = %s
first_start = %t
memory_mb = 284
processor_share = 0.4
stop_time = 8s

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
`

// newGateway writes the settings of a gateway, with a link of its own to the store.
func (l *lab) newGateway(name, zone string) (*gateway, error) {
	link, err := newLink(l.storeAt)
	if err != nil {
		return nil, err
	}
	var addresses [4]string
	for i := range addresses {
		if addresses[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	g := &gateway{lab: l, name: name, callers: addresses[0], ready: addresses[1], settings: filepath.Join(l.dir, name+".ini"), link: link}
	content := fmt.Sprintf(settingsFormat, name, zone, true, addresses[0], addresses[1], addresses[2], addresses[3], link.address())
	return g, os.WriteFile(g.settings, []byte(content), 0o600)
}

// freeAddress returns a loopback address with a port that is free for TCP and UDP.
func freeAddress() (string, error) {
	for range 20 {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		address := tcp.Addr().String()
		udp, err := net.ListenPacket("udp", address)
		tcp.Close()
		if err == nil {
			udp.Close()
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

// run starts the process as the deploy file does.
func (g *gateway) run() error {
	log, err := os.OpenFile(filepath.Join(g.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.command = exec.Command("target/currantladder", "gateway")
	g.command.Env = append(os.Environ(), "CURRANTLADDER_BOOT="+g.settings)
	g.command.Stdout, g.command.Stderr = log, log
	if g.exited, err = g.start(g.command); err != nil {
		return err
	}
	command, exited := g.command, g.exited
	go func() { _ = command.Wait(); close(exited) }()
	g.record("%s starts", g.name)
	return nil
}

// kill kills the process and makes later starts no first start.
func (g *gateway) kill() error {
	_ = g.command.Process.Kill()
	<-g.exited
	g.record("%s is killed", g.name)
	content, err := os.ReadFile(g.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(g.settings, []byte(strings.Replace(string(content), "first_start = true", "first_start = false", 1)), 0o600)
}

// awaitReady waits until the gateway answers its readiness check with 200.
func (g *gateway) awaitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+"/readyz", nil)
		if err != nil {
			cancel()
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			response.Body.Close()
		}
		cancel()
		if err == nil && response.StatusCode == http.StatusOK {
			g.record("%s is ready", g.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", g.name, timeout)
}

// workerProcess is a stand-in of a worker.
type workerProcess struct {
	*lab
	id      string
	command *exec.Cmd
	exited  chan struct{}
	address string
	// began is closed when the worker has begun a stream that it will not frame.
	began chan struct{}
	once  sync.Once
}

// newWorker starts a worker, which registers itself in the store.
func (l *lab) newWorker(id string, flags ...string) (*workerProcess, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	w := &workerProcess{lab: l, id: id, began: make(chan struct{})}
	w.command = exec.Command(program, append([]string{"worker", "-id", id, "-store", l.storeAt}, flags...)...)
	w.command.Stderr = os.Stderr
	output, err := w.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if w.exited, err = l.start(w.command); err != nil {
		return nil, err
	}
	listening := make(chan string, 1)
	go w.follow(bufio.NewScanner(output), listening)
	select {
	case w.address = <-listening:
	case <-time.After(5 * time.Second):
		return nil, fmt.Errorf("worker %s does not listen", id)
	}
	l.mu.Lock()
	l.workers[id] = w
	l.mu.Unlock()
	l.record("worker %s listens on %s", id, w.address)
	return w, nil
}

// follow reads what the worker reports until it ends.
func (w *workerProcess) follow(lines *bufio.Scanner, listening chan<- string) {
	for lines.Scan() {
		word, rest, _ := strings.Cut(lines.Text(), " ")
		switch word {
		case "listening":
			listening <- rest
		case "ran":
			w.mu.Lock()
			w.runs = append(w.runs, workerRun{w.id, rest, time.Now()})
			w.mu.Unlock()
		case "unframed":
			w.once.Do(func() { close(w.began) })
		}
		if word != "listening" {
			w.record("worker %s: %s", w.id, lines.Text())
		}
	}
	_ = w.command.Wait()
	w.record("worker %s has ended", w.id)
	close(w.exited)
}

// unregister removes the worker's entry, as the platform does for a worker that leaves.
func (w *workerProcess) unregister() {
	w.store.Drop("servers", w.id)
	w.record("the store has removed the entry of worker %s", w.id)
}

// link carries the connections of one gateway to the store.
type link struct {
	listener net.Listener
	target   string

	mu  sync.Mutex
	cut bool
	// healed is closed when a cut ends.
	healed chan struct{}
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: listener, target: target, healed: make(chan struct{})}
	close(k.healed)
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

// setCut begins or ends a partition: bytes in both directions are held back.
func (k *link) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if cut == k.cut {
		return
	}
	k.cut = cut
	if cut {
		k.healed = make(chan struct{})
	} else {
		close(k.healed)
	}
}

func (k *link) awaitHealed() {
	k.mu.Lock()
	healed := k.healed
	k.mu.Unlock()
	<-healed
}

func (k *link) accept() {
	for {
		from, err := k.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			k.awaitHealed()
			to, err := net.Dial("tcp", k.target)
			if err != nil {
				from.Close()
				return
			}
			go k.forward(from, to)
			k.forward(to, from)
		}()
	}
}

func (k *link) forward(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		k.awaitHealed()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
