package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/standin/loopback"
)

// gatewayProcess is a node of a managed deployment whose store is down.
type gatewayProcess struct {
	*exec.Cmd
	t       *testing.T
	callers string
	// settings is the content of the settings file.
	settings string
	exited   chan error
}

// startGateway starts a process that reads its settings from path.
func startGateway(t *testing.T, path string) *gatewayProcess {
	t.Helper()
	if testing.Short() {
		t.Skip("stops a process in real time")
	}
	t.Parallel()
	addresses, err := loopback.FreeAddresses(4)
	if err != nil {
		t.Fatal(err)
	}
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p := &gatewayProcess{t: t, callers: addresses[0], exited: make(chan error, 1)}
	p.settings = fmt.Sprintf("[node]\nname = n\nfailure_domain = d\nstop_time = 4s\n[listen]\ncallers = %s\nready = %s\npeers = %s\n[store]\naddress = %s\n",
		addresses[0], addresses[1], addresses[2], addresses[3])
	// TestMain runs main under this name.
	p.Cmd = &exec.Cmd{Path: executable, Args: []string{"currantladder", "gateway", "--settings", path}}
	return p
}

func (p *gatewayProcess) start() {
	p.t.Helper()
	if err := p.Cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = p.Process.Kill() }) // fails if the process has ended
	go func() { p.exited <- p.Wait() }()
}

func (p *gatewayProcess) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.Process.Signal(s); err != nil {
		p.t.Errorf("send %v: %v", s, err)
	}
}

// awaitListener waits until callers can connect.
func (p *gatewayProcess) awaitListener() {
	p.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", p.callers)
		if err == nil {
			conn.Close()
			return
		}
		if time.Now().After(deadline) {
			p.t.Fatalf("the process does not listen: %v", err)
		}
	}
}

// awaitExit verifies that the process exits without an error.
func (p *gatewayProcess) awaitExit() {
	p.t.Helper()
	select {
	case err := <-p.exited:
		if err != nil {
			p.t.Errorf("got %v, want an exit without an error", err)
		}
	case <-time.After(20 * time.Second):
		p.t.Error("the process has not ended 20 s after SIGTERM")
	}
}

// TestSignalsDuringAStopDoNotCutIt guards against a second SIGTERM or a SIGHUP that ends a
// stopping process before it has refused late requests.
func TestSignalsDuringAStopDoNotCutIt(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.ini")
	p := startGateway(t, path)
	if err := os.WriteFile(path, []byte(p.settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p.start()
	p.awaitListener()
	p.signal(syscall.SIGHUP)
	p.signal(syscall.SIGTERM)
	for range 5 {
		time.Sleep(100 * time.Millisecond)
		p.signal(syscall.SIGTERM)
		p.signal(syscall.SIGHUP)
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+p.callers+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Currantladder-Request-Id", "id")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatalf("request during the stop: got %v, want an answer", err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || !response.Close {
		t.Errorf("request during the stop: got status %d, connection closes: %t; want 503 and its end", response.StatusCode, response.Close)
	}
	p.awaitExit()
}

// TestSignalsBeforeSettingsAreRead guards against a SIGHUP that ends a process which has
// not read its settings, and a SIGTERM before the listeners are open that fails it.
func TestSignalsBeforeSettingsAreRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.ini")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	p := startGateway(t, path)
	p.start()
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // blocks until the process opens it
	if err != nil {
		t.Fatal(err)
	}
	p.signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond) // a process that the signal ends is gone by then
	p.signal(syscall.SIGTERM)
	if _, err := pipe.WriteString(p.settings); err != nil {
		t.Errorf("write the settings: %v", err)
	}
	if err := pipe.Close(); err != nil {
		t.Error(err)
	}
	p.awaitExit()
}
