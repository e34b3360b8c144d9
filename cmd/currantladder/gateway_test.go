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

// lockedBuffer collects log lines of several goroutines.
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

// TestHangupReadsTheSettingsAndEndsNothing holds that SIGHUP, which ends a
// process that does not handle it, leaves one log line.
func TestHangupReadsTheSettingsAndEndsNothing(t *testing.T) {
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
			t.Fatalf("no line about the settings: %q", out.String())
		}
		time.Sleep(5 * time.Millisecond)
	}
	if !strings.Contains(out.String(), "[store] address") {
		t.Errorf("the fault of the file is not told: %s", out.String())
	}
}
