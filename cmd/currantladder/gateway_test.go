package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"currantladder.example/currantladder/internal/process/eventlog"
)

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu      sync.Mutex
	content bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.String()
}

// TestSIGHUPChecksSettingsWithoutExit verifies that SIGHUP, which by default
// terminates a process, only checks the settings and logs the result.
func TestSIGHUPChecksSettingsWithoutExit(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.ini")
	if err := os.WriteFile(path, []byte("[store]\naddress = nowhere\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	out := &lockedBuffer{}
	stop := logReloads(path, eventlog.New(out, logrus.InfoLevel, "n"))
	defer stop()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(5 * time.Second); !strings.Contains(out.String(), `"event":1452`); {
		if time.Now().After(deadline) {
			t.Fatalf("got log %q, want a line of event 1452", out.String())
		}
		time.Sleep(5 * time.Millisecond)
	}
	if !strings.Contains(out.String(), "[store] address") {
		t.Errorf("got log %q, want the invalid setting [store] address in it", out.String())
	}
}
