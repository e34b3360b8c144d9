//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"currantladder.example/currantladder/platform/standin"
)

// lab is one play: the platform's store, worker processes and nodes of the system, all on
// loopback addresses.
type lab struct {
	folder, temp string
	// trouble is false if the play leaves the disruption out.
	trouble bool
	store   *standin.Store
	address string
	started time.Time

	mu     sync.Mutex
	file   *os.File
	runs   []run
	orders []orderEvent
	procs  []*process
}

// run is a request that a worker began to run.
type run struct {
	Request, Worker string
	at              time.Time
}

// orderEvent is an order that a worker has carried out, or one that gets no answer. OldGroup,
// OldHead and OldState are those of the group that the worker was in.
type orderEvent struct {
	Worker, Op, Group           string
	Epoch                       int64
	Status                      int
	Unanswered                  bool
	OldGroup, OldHead, OldState string
	at                          time.Time
}

// process is a process that the lab started.
type process struct {
	name    string
	command *exec.Cmd
	exited  chan struct{}
}

func newLab(folder string) (*lab, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "lab2-")
	if err != nil {
		return nil, err
	}
	l := &lab{folder: folder, temp: temp, trouble: os.Getenv("TROUBLE") != "0", store: standin.NewStore(), started: time.Now(), file: file}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.Handle("/", l.store)
	mux.HandleFunc("POST /lab/register", l.handleRegister)
	mux.HandleFunc("POST /lab/ran", l.handleRan)
	mux.HandleFunc("POST /lab/order", l.handleOrder)
	go func() { _ = http.Serve(listener, mux) }()
	l.record("the play begins, disruption %t", l.trouble)
	return l, nil
}

// record writes a line with the time since the start to record.txt.
func (l *lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.file, "%7.3f %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// handleRegister writes the entry of a worker, as the workers' own calls to the store do.
func (l *lab) handleRegister(_ http.ResponseWriter, r *http.Request) {
	var entry json.RawMessage
	if json.NewDecoder(r.Body).Decode(&entry) == nil {
		l.store.PutBytes("servers", r.URL.Query().Get("id"), entry)
	}
}

func (l *lab) handleRan(_ http.ResponseWriter, r *http.Request) {
	var event run
	if json.NewDecoder(r.Body).Decode(&event) != nil {
		return
	}
	event.at = time.Now()
	l.mu.Lock()
	l.runs = append(l.runs, event)
	l.mu.Unlock()
	l.record("worker %s runs %s", event.Worker, event.Request)
}

func (l *lab) handleOrder(_ http.ResponseWriter, r *http.Request) {
	var event orderEvent
	if json.NewDecoder(r.Body).Decode(&event) != nil {
		return
	}
	event.at = time.Now()
	l.mu.Lock()
	l.orders = append(l.orders, event)
	l.mu.Unlock()
	switch {
	case event.Unanswered:
		l.record("worker %s gets the order %s %s and does not answer", event.Worker, event.Op, event.Group)
	case event.OldGroup != "" && event.OldGroup != event.Group:
		l.record("worker %s carries out %s %s (%d) in group %s of %s as %s", event.Worker, event.Op, event.Group, event.Status, event.OldGroup, event.OldHead, event.OldState)
	default:
		l.record("worker %s carries out %s %s (%d)", event.Worker, event.Op, event.Group, event.Status)
	}
}

// start starts a process and sends its output to a file of the temporary folder.
func (l *lab) start(name string, env []string, path string, args ...string) (*process, error) {
	output, err := os.OpenFile(filepath.Join(l.temp, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer output.Close()
	command := exec.Command(path, args...)
	command.Env = append(os.Environ(), env...)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &process{name: name, command: command, exited: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(p.exited)
	}()
	l.mu.Lock()
	l.procs = append(l.procs, p)
	l.mu.Unlock()
	l.record("started %s", name)
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// endAll ends all processes of the play and removes the temporary folder.
func (l *lab) endAll() {
	l.mu.Lock()
	procs := l.procs
	l.mu.Unlock()
	for _, p := range procs {
		if p.running() {
			p.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.temp)
	} else {
		fmt.Println("kept", l.temp)
	}
}

// runsOf returns how often a request ran.
func (l *lab) runsOf(request string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.runs {
		if r.Request == request {
			n++
		}
	}
	return n
}

// freePorts returns n free ports of the loopback address.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// node is a process of the system.
type node struct {
	*process
	name                   string
	callers, ready, stored string
	settings               string
}

// nodeSettings are the settings that platform/node.ini.tmpl gives for a small deployment.
const nodeSettings = `[node]
name = %s
region = r
failure_domain = %s
first_start = %t
memory_mb = 284
processor_share = %g
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

[cold]
over =
slack =
`

// startNode starts a node of a small deployment with the command of the deploy file.
func (l *lab) startNode(index int, storeAddress string) (*node, error) {
	return l.startNodeIn(index, fmt.Sprintf("z%d", index%3), 0.4, storeAddress)
}

// startNodeIn starts a node in a zone with a share of a core.
func (l *lab) startNodeIn(index int, zone string, share float64, storeAddress string) (*node, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	address := func(i int) string { return "127.0.0.1:" + strconv.Itoa(ports[i]) }
	n := &node{name: fmt.Sprintf("node%02d", index), callers: address(0), ready: address(1), stored: storeAddress}
	n.settings = filepath.Join(l.temp, n.name+".ini")
	content := fmt.Sprintf(nodeSettings, n.name, zone, true, share, address(0), address(1), address(2), address(3), storeAddress)
	if err := os.WriteFile(n.settings, []byte(content), 0o600); err != nil {
		return nil, err
	}
	return n, l.startAgain(n)
}

// program is the system's program as the deploy file builds it.
func program() string {
	if path := os.Getenv("LAB_PROGRAM"); path != "" { // for trials
		return path
	}
	return "target/currantladder"
}

// startAgain starts the process of a node with the command of the deploy file.
func (l *lab) startAgain(n *node) (err error) {
	n.process, err = l.start(n.name, []string{"CURRANTLADDER_BOOT=" + n.settings}, program(), "gateway")
	return err
}

// awaitReady waits until all nodes are ready.
func (l *lab) awaitReady(timeout time.Duration, nodes ...*node) error {
	client := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, n := range nodes {
		for deadline := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
			if response, err := client.Get("http://" + n.ready + "/readyz"); err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v", n.name, timeout)
			}
		}
	}
	return nil
}

// startWorker starts a worker process. flags are those of the worker.
func (l *lab) startWorker(id, service string, flags ...string) (*process, error) {
	args := append([]string{"worker", "-id", id, "-service", service, "-platform", l.address}, flags...)
	return l.start("worker-"+id, nil, os.Args[0], args...)
}

// awaitServers waits until so many entries of workers match.
func (l *lab) awaitServers(timeout time.Duration, want int, match func(entry workerEntry) bool) error {
	for deadline := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, e := range l.entries() {
			if match(e) {
				n++
			}
		}
		if n >= want {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d workers match after %v, want %d", n, timeout, want)
		}
	}
}

// entries reads the workers' entries over the store's protocol.
func (l *lab) entries() map[string]workerEntry {
	response, err := http.Get("http://" + l.address + "/rows-get?table=servers&part=")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var answer struct {
		Rows []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"rows"`
	}
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil
	}
	out := map[string]workerEntry{}
	for _, row := range answer.Rows {
		var e workerEntry
		if json.Unmarshal(row.Value, &e) == nil {
			out[row.Key] = e
		}
	}
	return out
}

// leaderName returns the name of the node that leads, as the system's own row in the store says.
func (l *lab) leaderName() (string, error) {
	response, err := http.Get("http://" + l.address + "/rows-get?table=currantladder&part=fleet&from=leader")
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	var answer struct {
		Rows []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"rows"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return "", err
	}
	for _, row := range answer.Rows {
		var stored struct {
			Value struct {
				Holder string `json:"holder"`
			} `json:"value"`
		}
		if row.Key == "leader" && json.Unmarshal(row.Value, &stored) == nil {
			name, _, _ := strings.Cut(stored.Value.Holder, "/")
			return name, nil
		}
	}
	return "", errors.New("the store has no row of a leader")
}

// route is a route of the manifest, service one of its services.
func route(name, kind, service string, timeoutMs, goalMs, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "a.example", "prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeoutMs, "goal_ms": goalMs, "gap_aim_ms": 300,
		"priority": 1, "service": service, "attempts": attempts, "public": false, "sticky": kind == "stream", "resumable": kind == "stream",
	}
}

// engineService returns a service of model workers like those of the sites, with one model.
func engineService(name, model string, size int) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 384, "protocol": "h1", "tls": false, "engine": map[string]any{
		"slots": 26, "kv_tokens": 1400000, "stride": 5, "models": []any{map[string]any{"name": model, "size": size, "share": 1.0, "pace": 1.0, "load_s": 16.0, "warm_s": 1.6}},
		"step_ms": 6.07, "per_seq_ms": 0.241, "context_per_k": 0.00488, "read_per_s": 46000.0, "pairs_per_m": 0.7, "chunk": 2048, "report_lag_ms": 200.0,
		"loads_per_s": 4.0, "loads_at_once": 6, "usual": map[string]any{"prompt": 1076, "answer": 116}, "keeps": 1, "far_x": 3.0, "form_ms": 300.0,
	}}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 49, "protocol": "h1", "tls": false}
}

// writeManifest writes a manifest as the operator does.
func (l *lab) writeManifest(version int, routes, services []any) {
	l.writeManifestWithKeys(version, routes, services, "key")
}

// writeManifestWithKeys writes a manifest whose tenant has the given keys.
func (l *lab) writeManifestWithKeys(version int, routes, services []any, keys ...string) {
	l.store.Put("op", "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant", "api_keys": keys, "priority": 1}},
	})
	l.record("the operator writes manifest %d", version)
}
