package fleet

import (
	"fmt"
	"testing"
	"time"
)

// TestOpenHeadsAreIndexed guards against requests at a host that is no head of an open
// group of the service and model, and against heads that get none.
func TestOpenHeadsAreIndexed(t *testing.T) {
	head := func(id, service, model string, change func(*Host)) *Host {
		h := &Host{ID: id, Service: service, LoadedModel: model, Group: Membership{Name: "g." + id, State: MemberOpen}}
		if change != nil {
			change(h)
		}
		return h
	}
	v := NewView(nil, []*Host{
		head("c", "s", "m", nil), head("a", "s", "m", nil), head("b", "s", "n", nil), head("d", "other", "m", nil),
		head("e", "s", "m", func(h *Host) { h.State = HostLeaving }), head("f", "s", "m", func(h *Host) { h.Group.Rank = 1 }),
		head("g", "s", "m", func(h *Host) { h.Group.State = MemberClosing }), head("h", "s", "m", func(h *Host) { h.Deserted = true }),
	}, 1, time.Time{}, true)
	for _, test := range []struct {
		name string
		got  []*Host
		want string
	}{
		{"heads of m", v.OpenHeads("s", "m"), "[a c]"}, {"heads of n", v.OpenHeads("s", "n"), "[b]"},
		{"heads of no model", v.OpenHeads("s", ""), "[]"}, {"ready hosts", v.ReadyHosts("s"), "[a b c f g h]"},
	} {
		ids := []string{}
		for _, h := range test.got {
			ids = append(ids, h.ID)
		}
		if got := fmt.Sprint(ids); got != test.want {
			t.Errorf("%s: got %s, want %s", test.name, got, test.want)
		}
	}
}
