package gateway

import (
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/fleet"
)

// logEndedWaits logs the hosts that are filled again after a time without requests that
// they asked for. Hosts that have gone meanwhile are left out.
func (g *Gateway) logEndedWaits(view *fleet.View, now time.Time) {
	for _, w := range g.board.TakeEndedWaits(now) {
		if host := view.Host(w.HostID); host != nil && host.Started.Equal(w.Started) {
			g.log.LogLimited(eventlog.HostFilledAgain, eventlog.Fields{"host": w.HostID, "waited_ms": w.Waited.Milliseconds(), "left_out": w.LeftOut})
		}
	}
}
