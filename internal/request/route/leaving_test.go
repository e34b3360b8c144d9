package route

import (
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/hostlist"
)

// TestWordOfLeavingBelongsToOneLife guards against a host that gets calls again in the
// life in which it said that it leaves, and against a restarted one that gets none.
func TestWordOfLeavingBelongsToOneLife(t *testing.T) {
	l := NewLeavingHosts()
	none := func(string) bool { return false }
	named := hostlist.Host{Name: "a", Address: "a:1", BootID: "1"}
	unnamed := hostlist.Host{Name: "b", Address: "b:1"}
	for _, host := range []hostlist.Host{named, unnamed} {
		if !l.Observe(host, waitStart, none) || l.Observe(host, waitStart, none) {
			t.Errorf("host %s: want its first word to be new, and only that", host.Name)
		}
	}
	for _, test := range []struct {
		host  hostlist.Host
		after time.Duration
		want  bool
	}{
		{named, 24 * time.Hour, true},
		{hostlist.Host{Name: "a", Address: "a:1", BootID: "2"}, 0, false},
		{hostlist.Host{Name: "a", Address: "a:2", BootID: "1"}, 0, false},
		{unnamed, saidLeavingTTL - 1, true},
		{unnamed, saidLeavingTTL, false},
	} {
		if got := l.Leaves(test.host, waitStart.Add(test.after)); got != test.want {
			t.Errorf("host %+v after %v: leaves %t, want %t", test.host, test.after, got, test.want)
		}
	}
}

// TestUnlistedLeavingHostsAreForgotten guards against a set that grows with every host
// that ever left.
func TestUnlistedLeavingHostsAreForgotten(t *testing.T) {
	l := NewLeavingHosts()
	listed := func(name string) bool { return name == "listed" }
	for _, name := range []string{"listed", "gone"} {
		l.Observe(hostlist.Host{Name: name, BootID: "1"}, waitStart, listed)
	}
	for _, test := range []struct {
		after time.Duration
		want  int
	}{{saidLeavingTTL - 1, 3}, {saidLeavingTTL, 2}} {
		l.Observe(hostlist.Host{Name: "another", BootID: "1"}, waitStart.Add(test.after), listed)
		if len(l.said) != test.want {
			t.Errorf("after %v: got %d hosts, want %d", test.after, len(l.said), test.want)
		}
	}
}
