package crowd

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/standin/loopback"
	"currantladder.example/currantladder/internal/standin/platform"
	"currantladder.example/currantladder/platform/standin"
)

const (
	// maxBodyBytes is the limit of a body in the settings of the tests.
	maxBodyBytes = 1 << 20
	// bigAnswerBytes is the size of a large answer.
	bigAnswerBytes = 1 << 20
	// A node of `gateway` has the memory of the smallest node of the pages, and one of
	// `serve` at default settings that of the smallest node of the gift cards.
	gatewayMemoryMB = 112
	serveMemoryMB   = 184
	callerKey       = "caller-key"
	operatorToken   = "operator-token"
)

// system is a running node with what it needs.
type system struct {
	*process
	// callers is the address for callers, others are those of the other listeners.
	callers string
	others  []string
	// memoryBytes and descriptors are the bounds.
	memoryBytes int64
	descriptors int
	// head returns the head of a request without its last line.
	head func(method, path string) string
	// write is a path that takes bodies, read one with a large answer.
	write, read string
	// restart starts the process again after a stop.
	restart func()
}

// programs are the programs under test.
var programs = []struct {
	name  string
	start func(t *testing.T, maxDescriptors int) *system
}{{"serve", startServe}, {"gateway", startGateway}}

// eachProgram runs a test with a new process of each program.
func eachProgram(t *testing.T, maxDescriptors int, test func(t *testing.T, s *system)) {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes in real time")
	}
	for _, program := range programs {
		t.Run(program.name, func(t *testing.T) {
			s := program.start(t, maxDescriptors)
			s.awaitOrdinaryRequest(t)
			test(t, s)
			if t.Failed() {
				return
			}
			s.check(t)
		})
	}
}

// check verifies the bounds and that an ordinary request is answered.
func (s *system) check(t *testing.T) {
	t.Helper()
	if !s.lives() {
		t.Fatalf("the process has ended: %v", s.command.ProcessState)
	}
	s.checkBounds(t)
	s.awaitOrdinaryRequest(t)
}

func (s *system) checkBounds(t *testing.T) {
	t.Helper()
	memory, descriptors := s.peakMemory(t), s.mostDescriptors()
	t.Logf("%d MB, %d descriptors", memory>>20, descriptors)
	if memory > s.memoryBytes {
		t.Errorf("got a peak of %d MB of memory, want at most %d", memory>>20, s.memoryBytes>>20)
	}
	if descriptors > s.descriptors {
		t.Errorf("got %d open descriptors, want at most %d", descriptors, s.descriptors)
	}
}

// awaitOrdinaryRequest sends an ordinary request again and again until it is answered.
func (s *system) awaitOrdinaryRequest(t *testing.T) {
	t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var last string
	for deadline := time.Now().Add(hangTimeout); time.Now().Before(deadline) && s.lives(); time.Sleep(100 * time.Millisecond) {
		content := strings.Repeat("b", 2000)
		lines := strings.Split(strings.TrimSpace(s.head(http.MethodPost, s.write)), "\r\n")
		request, err := http.NewRequest(http.MethodPost, "http://"+s.callers+s.write, strings.NewReader(content))
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range lines[1:] {
			name, value, _ := strings.Cut(line, ": ")
			request.Header.Set(name, value)
		}
		request.Host = request.Header.Get("Host")
		response, err := client.Do(request)
		if err != nil {
			last = err.Error()
			continue
		}
		answer, err := io.ReadAll(response.Body)
		response.Body.Close()
		if response.StatusCode == http.StatusOK && err == nil {
			if last != "" {
				t.Logf("the failed try before the ordinary request was answered: %s", last)
			}
			return
		}
		last = fmt.Sprintf("status %d: %s", response.StatusCode, answer)
	}
	t.Fatalf("no ordinary request is answered; the last try: %s", last)
}

// serveCall answers as a service does: with a large answer to a GET, else with a short one
// after the body.
func serveCall(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	content := []byte("ok")
	if r.Method == http.MethodGet {
		content = bytes.Repeat([]byte("a"), bigAnswerBytes)
	}
	_, _ = w.Write(content) // fails if the node gives the call up
}

func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	addresses, err := loopback.FreeAddresses(n)
	if err != nil {
		t.Fatal(err)
	}
	return addresses
}

func writeFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.ini")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// startGateway starts a node of a managed deployment with one plain host.
func startGateway(t *testing.T, maxDescriptors int) *system {
	store := standin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Currantladder-Request-Id")
		w.Header().Set("X-Currantladder-Request-Id", id)
		w.Header().Set("X-Currantladder-Answer-Seal", "seal")
		serveCall(w, r)
	}))
	t.Cleanup(host.Close)
	store.Put("op", "config", standin.Configuration(1, map[string]int{"m": 1}))
	store.Put("servers", "p1", map[string]any{
		"service": "plain", "address": host.Listener.Addr().String(), "zone": "d", "version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "seq": 0, "born": time.Now().UnixMilli(),
	})
	addresses := freeAddresses(t, 4)
	path := writeFile(t, fmt.Sprintf("[node]\nname = n\nfailure_domain = d\nstop_time = 4s\nmemory_mb = %d\n[listen]\ncallers = %s\nready = %s\npeers = %s\nmetrics = %s\n[store]\naddress = %s\n",
		gatewayMemoryMB, addresses[0], addresses[1], addresses[2], addresses[3], storeServer.Listener.Addr()))
	start := func() *process { return startProcess(t, maxDescriptors, "gateway", "--settings", path) }
	s := &system{
		process: start(), callers: addresses[0], others: addresses[1:], memoryBytes: gatewayMemoryMB << 20, descriptors: maxDescriptors * 4 / 5,
		write: "/unsafe/1", read: "/safe/1",
		head: func(method, path string) string {
			return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: key\r\nX-Currantladder-Request-Id: r\r\n"
		},
	}
	s.restart = func() { s.process = start() }
	return s
}

const serveSettings = `[node]
name = node-1
region = north
failure_domain = north-1
[callers]
address = %s
max_body_bytes = %d
[peers]
address = %s
key = a-shared-peer-key-of-this-test
[operators]
address = %s
user.anna = %s
[platform]
url = %s
[timing]
host_list_poll = 200ms
head_poll = 300ms
drain_timeout = 3s
`

// startServe starts an entry node with one plain service.
func startServe(t *testing.T, maxDescriptors int) *system {
	fake := platform.New(platform.Options{})
	platformServer := httptest.NewServer(fake.Handler())
	t.Cleanup(platformServer.Close)
	service := httptest.NewServer(http.HandlerFunc(serveCall))
	t.Cleanup(service.Close)
	fake.ChangeHost(platform.HostChange{Host: &hostlist.Host{
		Name: "desk-1", Address: service.Listener.Addr().String(), Role: hostlist.RoleService, Region: "north", FailureDomain: "north-1", State: hostlist.StateLive,
	}})
	addresses := freeAddresses(t, 3)
	path := writeFile(t, fmt.Sprintf(serveSettings, addresses[0], maxBodyBytes, addresses[1], addresses[2], hexSum(operatorToken), platformServer.URL))
	start := func() *process { return startProcess(t, maxDescriptors, "serve", "--settings", path) }
	s := &system{
		process: start(), callers: addresses[0], others: addresses[1:], memoryBytes: serveMemoryMB << 20, descriptors: maxDescriptors * 4 / 5,
		write: "/services/booking/book", read: "/services/booking/lanes",
		head: func(method, path string) string {
			return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer " + callerKey + "\r\n"
		},
	}
	s.restart = func() { s.process = start() }
	s.apply(t, addresses[2])
	return s
}

func hexSum(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// apply writes the objects of the test as an operator.
func (s *system) apply(t *testing.T, operators string) {
	t.Helper()
	objects, err := json.Marshal([]map[string]any{
		{"kind": "Rank", "metadata": map[string]any{"name": "urgent"}, "spec": map[string]any{
			"priority": 0, "firstTokenTargetMillis": 670, "interTokenTargetMillis": 27, "queueBound": 100, "retryShare": 0.2, "maxAttempts": 3, "objective": 0.95,
		}},
		{"kind": "ClientAccount", "metadata": map[string]any{"name": "district"}, "spec": map[string]any{
			"keyHashes": []string{hexSum(callerKey)}, "ranks": []string{"urgent"}, "tokensPerSecond": 1_000_000, "burstTokens": 1_000_000, "maxInFlight": 100_000, "class": "large",
		}},
		{"kind": "Service", "metadata": map[string]any{"name": "booking"}, "spec": map[string]any{
			"hosts": []string{"desk-1"}, "idempotent": []map[string]any{{"method": "GET", "path": "/lanes"}}, "timeoutMillis": 5000,
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(hangTimeout); time.Now().Before(deadline) && s.lives(); time.Sleep(100 * time.Millisecond) {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+operators+"/api/apply", bytes.NewReader(objects))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+operatorToken)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			continue
		}
		answer, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
		if response.StatusCode < http.StatusInternalServerError {
			t.Fatalf("apply: status %d: %s", response.StatusCode, answer)
		}
	}
	t.Fatal("the operators' listener accepts no objects")
}
