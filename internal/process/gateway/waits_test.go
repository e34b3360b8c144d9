package gateway

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/version/fleet"
)

// TestEndOfAWaitIsLogged verifies that the end is logged once, and not for hosts that have
// gone or restarted.
func TestEndOfAWaitIsLogged(t *testing.T) {
	now := time.Unix(1000, 0)
	host := func(id string, started int64) *fleet.Host {
		return &fleet.Host{ID: id, Service: "s", Slots: 8, State: fleet.HostReady, Started: time.UnixMilli(started)}
	}
	var log bytes.Buffer
	g := &Gateway{board: place.NewBoard(), log: eventlog.New(&log, logrus.InfoLevel, "n")}
	for _, id := range []string{"stays", "gone", "restarted"} {
		g.board.ObserveWait(host(id, 1), 1500*time.Millisecond, now)
	}
	view := fleet.NewView(nil, []*fleet.Host{host("stays", 1), host("restarted", 2)}, 1, now, true)
	g.logEndedWaits(view, now.Add(time.Second))
	if log.Len() > 0 {
		t.Errorf("got %s within the wait, want nothing", log.String())
	}
	g.logEndedWaits(view, now.Add(1600*time.Millisecond))
	g.logEndedWaits(view, now.Add(1800*time.Millisecond))
	got := log.String()
	if strings.Count(got, "\n") != 1 || !strings.Contains(got, `"event":1381`) || !strings.Contains(got, `"host":"stays"`) || !strings.Contains(got, `"waited_ms":1500`) {
		t.Errorf("got %s, want event 1381 for the host that stays", got)
	}
}
