package formation

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/fleet"
)

// suspicionDelay is how long after its members fall silent a group is suspected.
const suspicionDelay = 250 * time.Millisecond

// silentHosts is an Orderer for hosts that answer at once, except those that are
// silent, refuse connections or are cut off.
type silentHosts struct {
	mu           sync.Mutex
	silentUntil  map[string]time.Time
	refusing     map[string]bool
	disconnected map[string]bool
	// firstOrder is the first order to a host and firstOrderAt when it was sent.
	firstOrder   string
	firstOrderAt time.Time
}

// Order implements Orderer.
func (o *silentHosts) Order(ctx context.Context, _ string, order Order) error {
	o.mu.Lock()
	if o.firstOrder == "" {
		o.firstOrder, o.firstOrderAt = fmt.Sprintf("%s to %s because %s", order.Operation, order.HostID, order.Reason), time.Now()
	}
	o.mu.Unlock()
	_, err := o.Probe(ctx, "", order.HostID)
	return err
}

// Probe implements Orderer.
func (o *silentHosts) Probe(ctx context.Context, _, hostID string) (float64, error) {
	o.mu.Lock()
	left, refusing, disconnected := time.Until(o.silentUntil[hostID]), o.refusing[hostID], o.disconnected[hostID]
	o.mu.Unlock()
	if refusing {
		return 0, ErrUnreachable
	}
	if left <= 0 && !disconnected {
		return 1, nil
	}
	if disconnected {
		<-ctx.Done()
		return 0, ErrUnreachable
	}
	select {
	case <-time.After(left):
		return 1, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// outage is what happens to some members of a group of four.
type outage struct {
	ranks []int
	// silence is how long they are silent, or 0 if they end or are cut off.
	silence time.Duration
	// cutOff is true if they do not even refuse connections.
	cutOff bool
	// busy is true if the group has requests in flight.
	busy bool
}

// firstOrderAfter plays an outage that begins the given time after a plan and returns
// the first order that follows, and how long after the begin it was sent.
func firstOrderAfter(sincePlan time.Duration, out outage) (order string, after time.Duration) {
	group := openGroup("d", "big", 1, 4)
	holder := &fleet.ViewHolder{}
	configuration := &fleet.Configuration{Services: map[string]*fleet.Service{"models": {Name: "models", Engine: engine()}}}
	holder.Store(fleet.NewView(configuration, append(group, spare("s1", "d", "big"), spare("s2", "d", "big")), 1, time.Now(), true))
	begin := time.Now().Add(time.Second + sincePlan)
	orderer := &silentHosts{silentUntil: map[string]time.Time{}, refusing: map[string]bool{}, disconnected: map[string]bool{}}
	c := NewController(Options{
		View: holder, Orderer: orderer, Leads: func() (int64, bool) { return 1, true }, Traffic: func() bool { return true },
		StalledHeads: func() []string {
			if suspected := time.Since(begin); suspected < suspicionDelay || out.silence > 0 && suspected > out.silence {
				return nil
			}
			return []string{group[0].ID}
		},
		IsBusy: func(id string) bool { return out.busy && id == group[0].ID }, Log: eventlog.Discard(), Metrics: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	go c.Run(ctx)
	time.Sleep(time.Until(begin))
	orderer.mu.Lock()
	orderer.firstOrder = "" // the spares may have got weights
	for _, rank := range out.ranks {
		orderer.silentUntil[group[rank].ID] = begin.Add(out.silence)
		orderer.refusing[group[rank].ID] = out.silence == 0 && !out.cutOff
		orderer.disconnected[group[rank].ID] = out.cutOff
	}
	orderer.mu.Unlock()
	time.Sleep(6 * time.Second)
	cancel()
	time.Sleep(time.Second) // lets the probes in flight end
	return orderer.firstOrder, orderer.firstOrderAt.Sub(begin)
}

// testOutage plays an outage at several times after a plan, and verifies that the first
// order follows within the limit, or never if that is 0.
func testOutage(t *testing.T, out outage, limit time.Duration) {
	t.Run(fmt.Sprintf("members %v silent %v cut off %v busy %v", out.ranks, out.silence, out.cutOff, out.busy), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			for sincePlan := time.Duration(0); sincePlan < PlanInterval; sincePlan += 20 * time.Millisecond {
				switch order, after := firstOrderAfter(sincePlan, out); {
				case limit == 0 && order != "":
					t.Errorf("got the order %s after %v, want none", order, after)
				case limit > 0 && (order == "" || after > limit):
					t.Errorf("got the first order %q after %v, want one within %v", order, after, limit)
				}
			}
		})
	})
}

// TestBusyGroupOutlivesSilence guards against a group that is ended, with the requests
// in flight there, because sound members were silent for a second or two.
func TestBusyGroupOutlivesSilence(t *testing.T) {
	for _, silence := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond, 1900 * time.Millisecond} {
		for _, ranks := range [][]int{{0}, {2}, {1, 3}, {0, 1, 2, 3}} {
			testOutage(t, outage{ranks: ranks, silence: silence, busy: true}, 0)
		}
	}
}

// TestLostMemberEndsItsGroupInTime guards against groups that wait for members that
// never go on: only a silent member of a busy group is waited for, until callers leave.
func TestLostMemberEndsItsGroupInTime(t *testing.T) {
	const (
		callersLeaveAfter = 2 * time.Second
		detection         = 500 * time.Millisecond // a plan and two rounds of probes
	)
	for _, ranks := range [][]int{{0}, {2}} {
		testOutage(t, outage{ranks: ranks, busy: true}, suspicionDelay+detection)
		testOutage(t, outage{ranks: ranks, cutOff: true, busy: true}, suspicionDelay+detection)
		testOutage(t, outage{ranks: ranks, silence: time.Hour}, suspicionDelay+detection)
		testOutage(t, outage{ranks: ranks, silence: time.Hour, busy: true}, suspicionDelay+callersLeaveAfter+detection)
	}
}
