package share

import (
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/connection/table"
)

// TestDeathWatch watches a node every 3 s for a minute, with a wait of 20 s.
func TestDeathWatch(t *testing.T) {
	const (
		wait  = 20 * time.Second
		never = -1
	)
	for _, c := range []struct {
		name    string
		listed  func(second int) bool
		polled  func(second int) bool
		version func(second int) table.Version
		dead    int // second, or never
	}{
		{"gone at once", always(false), always(true), constant(7), 21},
		{"no session row", always(false), always(true), constant(0), 21},
		{"session renewed", always(false), always(true), func(s int) table.Version { return table.Version(s) }, never},
		{"session renewed until 30", always(false), always(true), func(s int) table.Version { return table.Version(min(s, 30)) }, 51},
		{"listed until 30", func(s int) bool { return s <= 30 }, always(true), constant(7), 54},
		{"listed for once", func(s int) bool { return s == 18 }, always(true), constant(7), 42},
		{"list not read from 10 to 30", always(false), func(s int) bool { return s < 10 || s > 30 }, constant(7), 54},
	} {
		d, start, dead := newDeathWatch(wait, listGap), time.Unix(0, 0), never
		sent := start
		for s := 0; s <= 60 && dead == never; s += 3 {
			now := start.Add(time.Duration(s) * time.Second)
			list := hostlist.List{}
			if c.listed(s) {
				list.Hosts = []hostlist.Host{{Name: "n", Role: hostlist.RoleNode}}
			}
			if c.polled(s) {
				sent = now
			}
			d.observeList(list, sent, []string{"n"}, now)
			d.observeSession("n", table.Row{Version: c.version(s)}, now, now)
			if _, ok := d.dead("n", 0); ok {
				dead = s
			}
		}
		if dead != c.dead {
			t.Errorf("%s: dead at %d s, want %d", c.name, dead, c.dead)
		}
	}
}

func always(v bool) func(int) bool { return func(int) bool { return v } }

func constant(v table.Version) func(int) table.Version { return func(int) table.Version { return v } }
