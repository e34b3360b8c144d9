package share

import (
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/connection/table"
)

// TestAbsenceDetector observes a node every 3 s for a minute, with a timeout of
// 20 s, and checks when its shares become reclaimable.
func TestAbsenceDetector(t *testing.T) {
	const (
		timeout = 20 * time.Second
		never   = -1
	)
	for _, c := range []struct {
		name     string
		listed   func(second int) bool
		polled   func(second int) bool
		version  func(second int) table.Version
		absentAt int // second, or never
	}{
		{"unlisted from the start", always(false), always(true), constant(7), 21},
		{"no session row", always(false), always(true), constant(0), 21},
		{"session always renewed", always(false), always(true), func(s int) table.Version { return table.Version(s) }, never},
		{"session renewed until 30", always(false), always(true), func(s int) table.Version { return table.Version(min(s, 30)) }, 51},
		{"listed until 30", func(s int) bool { return s <= 30 }, always(true), constant(7), 54},
		{"listed once at 18", func(s int) bool { return s == 18 }, always(true), constant(7), 42},
		{"list not read from 10 to 30", always(false), func(s int) bool { return s < 10 || s > 30 }, constant(7), 54},
	} {
		d, start, absentAt := newAbsenceDetector(timeout, maxListGap), time.Unix(0, 0), never
		listRequestedAt := start
		for s := 0; s <= 60 && absentAt == never; s += 3 {
			now := start.Add(time.Duration(s) * time.Second)
			list := hostlist.List{}
			if c.listed(s) {
				list.Hosts = []hostlist.Host{{Name: "n", Role: hostlist.RoleNode}}
			}
			if c.polled(s) {
				listRequestedAt = now
			}
			d.observeList(list, listRequestedAt, []string{"n"}, now)
			d.observeSession("n", table.Row{Version: c.version(s)}, now, now)
			if _, ok := d.reclaimable("n", 0); ok {
				absentAt = s
			}
		}
		if absentAt != c.absentAt {
			t.Errorf("%s: got reclaimable at %d s, want %d", c.name, absentAt, c.absentAt)
		}
	}
}

func always(v bool) func(int) bool { return func(int) bool { return v } }

func constant(v table.Version) func(int) table.Version { return func(int) table.Version { return v } }
