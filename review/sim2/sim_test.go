//go:build review

// Package sim2 plays formation.Controller in virtual time against workers that follow the pages, with
// random disruptions, and looks for breaks of TWO and PARTIAL. LATE and LOST set the shares of orders
// that are carried out late, or whose answer is lost, while such a disruption lasts:
//
//	SEED=1 COUNT=1000 LATE=0.4 LOST=0.2 go test -tags review -count=1 ./review/sim2 -v
package sim2

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/fleet"
	"currantladder.example/currantladder/internal/version/formation"
)

const (
	stall = 5 * time.Second
	lapse = 3600 * time.Millisecond
)

type group struct {
	name    string
	epoch   int64
	model   string
	members []string
	rank    int
	state   fleet.MemberState
	still   time.Time // since when the group stands still
}

type host struct {
	id, domain      string
	alive           bool
	cutStore        bool // its entry is not renewed
	cutLeader       bool // the leader's calls do not reach it
	silent          time.Time
	born            time.Time
	group           *group
	highest         int64
	lastModel       string
	staged          string
	registered      *fleet.Host
	lapseAt         time.Time
	draining        bool
	life            int
	written, stored int
}

type world struct {
	t                    *testing.T
	seed                 int64
	mu                   sync.Mutex
	r                    *rand.Rand
	hosts                map[string]*host
	engine               *fleet.Engine
	config               *fleet.Configuration
	view                 *fleet.ViewHolder
	ver                  int64
	ready                map[string]bool
	term                 int64
	leader               int
	leads                bool
	lateShare, lostShare float64
	log                  []string
	broken               []string
	begun                time.Time
	added                int
}

func (w *world) note(format string, a ...any) {
	w.log = append(w.log, fmt.Sprintf("%8.3f ", time.Since(w.begun).Seconds())+fmt.Sprintf(format, a...))
}

func (w *world) violate(format string, a ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, a...))
	w.note("BROKEN "+format, a...)
}

func readyKey(id string, g *group) string { return fmt.Sprint(id, g.name, g.epoch, g.members) }

// register writes the entry of a host after a lag.
func (w *world) register(h *host) {
	if !h.alive || h.cutStore {
		return
	}
	entry := &fleet.Host{ID: h.id, Service: "models", Address: h.id, FailureDomain: h.domain, FabricDomain: h.domain, State: fleet.HostReady, Slots: 26, Started: h.born}
	if h.draining {
		entry.State = fleet.HostLeaving
	}
	if h.staged != "" {
		entry.StagedModels = []string{h.staged}
	}
	if g := h.group; g != nil {
		entry.Group = fleet.Membership{Name: g.name, Epoch: g.epoch, Rank: g.rank, State: g.state}
		if g.state != fleet.MemberJoining {
			entry.LoadedModel = g.model
		}
	}
	h.lapseAt = time.Now().Add(lapse)
	life := h.life
	h.written++
	number := h.written
	time.AfterFunc(time.Duration(10+w.r.Intn(60))*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if h.life != life || w.hosts[h.id] != h || number < h.stored {
			return
		}
		h.stored = number
		if h.registered != nil && h.registered.Started.After(entry.Started) {
			return
		}
		h.registered = entry
		w.publish()
	})
}

func (w *world) publish() {
	w.ver++
	var hosts []*fleet.Host
	for _, h := range w.hosts {
		if h.registered != nil {
			copied := *h.registered
			hosts = append(hosts, &copied)
		}
	}
	w.view.Store(fleet.NewView(w.config, hosts, w.ver, time.Now(), true))
}

func (w *world) find(id string) *host { return w.hosts[id] }

// intact reports whether all members of the head's group are alive and in it.
func (w *world) intact(g *group) bool {
	for _, id := range g.members {
		m := w.find(id)
		if m == nil || !m.alive || m.group == nil || m.group.name != g.name || m.group.epoch != g.epoch {
			return false
		}
	}
	return true
}

// tick lets time pass for heads and entries.
func (w *world) tick() {
	now := time.Now()
	changed := false
	for _, h := range w.hosts {
		if h.registered != nil && now.After(h.lapseAt) && (!h.alive || h.cutStore) {
			h.registered = nil
			changed = true
		}
		if h.alive && !h.cutStore && now.After(h.lapseAt.Add(-lapse+1200*time.Millisecond)) {
			w.register(h)
		}
		g := h.group
		if !h.alive || g == nil || g.rank != 0 || g.state != fleet.MemberOpen && g.state != fleet.MemberClosing {
			continue
		}
		if w.intact(g) {
			g.still = time.Time{}
			continue
		}
		if g.still.IsZero() {
			g.still = now
		} else if now.Sub(g.still) >= stall {
			g.state = fleet.MemberBroken
			w.note("%s broken %s", h.id, g.name)
			w.register(h)
		}
	}
	if changed {
		w.publish()
	}
}

var errLost = errors.New("no answer")

// Order implements formation.Orderer.
func (w *world) Order(ctx context.Context, address string, o formation.Order) error {
	time.Sleep(time.Millisecond)
	w.mu.Lock()
	h := w.find(address)
	if h == nil || !h.alive || h.cutLeader || time.Now().Before(h.silent) {
		silent := h != nil && h.alive && !h.cutLeader
		w.mu.Unlock()
		if silent { // carried out when the host goes on
			go func() {
				for {
					w.mu.Lock()
					left := time.Until(h.silent)
					w.mu.Unlock()
					if left <= 0 {
						break
					}
					time.Sleep(left)
				}
				w.mu.Lock()
				defer w.mu.Unlock()
				w.apply(h, h.life, o)
			}()
		}
		<-ctx.Done()
		return ctx.Err()
	}
	life := h.life
	x := w.r.Float64()
	switch {
	case x < w.lateShare:
		delay := 2*time.Second + time.Duration(w.r.Int63n(int64(10*time.Second)))
		time.AfterFunc(delay, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.note("late:")
			w.apply(h, life, o)
		})
		w.mu.Unlock()
		<-ctx.Done()
		return ctx.Err()
	case x < w.lateShare+w.lostShare:
		w.apply(h, life, o)
		w.mu.Unlock()
		<-ctx.Done()
		return ctx.Err()
	}
	status := w.apply(h, life, o)
	w.mu.Unlock()
	if status >= 400 {
		return fmt.Errorf("%w: %d", formation.ErrOrderRefused, status)
	}
	return nil
}

func (w *world) apply(h *host, life int, o formation.Order) int {
	if !h.alive || h.life != life || w.hosts[h.id] != h {
		return 421
	}
	g := h.group
	member := g != nil && g.name == o.Group && g.epoch == o.Epoch
	status := 202
	switch o.Operation {
	case formation.OpStage:
		w.after(h, 12*time.Second, func() { h.staged = o.Model })
	case formation.OpJoin:
		if member && slices.Equal(g.members, o.Members) {
			return 200
		}
		if o.Epoch < h.highest || member {
			return 412
		}
		w.checkTwo(h, o)
		h.highest = o.Epoch
		joined := &group{name: o.Group, epoch: o.Epoch, model: o.Model, members: o.Members, rank: slices.Index(o.Members, h.id), state: fleet.MemberJoining}
		load := 1600 * time.Millisecond
		if h.lastModel == o.Model {
			load = 200 * time.Millisecond
		} else if h.staged != o.Model {
			load = 2 * time.Second
		}
		h.group = joined
		w.after(h, load, func() {
			if h.group == joined {
				joined.state, h.lastModel, h.staged = fleet.MemberReady, o.Model, o.Model
				w.ready[readyKey(h.id, joined)] = true
			}
		})
	case formation.OpOpen:
		if !member || g.state != fleet.MemberReady || g.rank != 0 {
			return 409
		}
		w.after(h, 300*time.Millisecond, func() {
			if h.group == g && g.state == fleet.MemberReady {
				g.state = fleet.MemberOpen
				if len(g.members) != w.engine.Model(g.model).Size {
					w.violate("PARTIAL size %s", g.name)
				}
				for _, id := range g.members {
					if !w.ready[readyKey(id, g)] {
						w.violate("PARTIAL %s opens and %s was never ready", g.name, id)
					}
				}
			}
		})
	case formation.OpClose:
		if !member {
			return 409
		}
		if g.state == fleet.MemberOpen {
			g.state = fleet.MemberClosing
			w.after(h, time.Duration(w.r.Intn(3000))*time.Millisecond, func() {
				if h.group == g && g.state == fleet.MemberClosing {
					g.state = fleet.MemberReady
				}
			})
		}
	case formation.OpLeave:
		if !member {
			return 409
		}
		h.group = nil
	}
	w.note("%s %s %s %v", h.id, o.Operation, o.Group, status)
	w.register(h)
	return status
}

// checkTwo verifies that the group that the host is in does not serve.
func (w *world) checkTwo(h *host, o formation.Order) {
	old := h.group
	if old == nil || old.name == o.Group {
		return
	}
	head := w.find(old.members[0])
	if head == nil || !head.alive || head.group == nil || head.group.name != old.name || head.group.epoch != old.epoch {
		return
	}
	if s := head.group.state; s == fleet.MemberOpen || s == fleet.MemberClosing {
		w.violate("TWO %s takes the join of %s while the head %s of its group %s is %s", h.id, o.Group, head.id, old.name, s)
	}
}

func (w *world) after(h *host, d time.Duration, f func()) {
	life := h.life
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if h.alive && h.life == life {
			f()
			w.register(h)
		}
	})
}

// Probe implements formation.Orderer.
func (w *world) Probe(ctx context.Context, address, hostID string) (float64, error) {
	time.Sleep(time.Millisecond)
	w.mu.Lock()
	h := w.find(address)
	dead := h == nil || !h.alive
	away := h != nil && h.cutLeader
	silent := h != nil && time.Now().Before(h.silent)
	w.mu.Unlock()
	switch {
	case dead:
		return 0, formation.ErrUnreachable
	case away:
		<-ctx.Done()
		return 0, fmt.Errorf("%w: %w", formation.ErrUnreachable, ctx.Err())
	case silent:
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return 1, nil
}

func (w *world) stalled() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for _, h := range w.hosts {
		if g := h.group; g != nil && g.rank == 0 && g.state == fleet.MemberOpen && (!g.still.IsZero() && time.Since(g.still) > 300*time.Millisecond || !h.alive || time.Now().Before(h.silent)) {
			ids = append(ids, h.id)
		}
	}
	return ids
}

func (w *world) add(domain string) {
	w.added++
	h := &host{id: fmt.Sprintf("h%02d", w.added), domain: domain, alive: true, born: time.Now()}
	w.hosts[h.id] = h
	w.register(h)
}

func number(name string, value int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return value
}

func play(t *testing.T, seed int64) []string {
	var broken, log []string
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, seed: seed, r: rand.New(rand.NewSource(seed)), hosts: map[string]*host{}, view: &fleet.ViewHolder{}, ready: map[string]bool{}, begun: time.Now()}
		w.engine = &fleet.Engine{Slots: 26, StepsPerPass: 5, ChunkTokens: 2048, StepTime: 6 * time.Millisecond, PrefillTokensPerSecond: 46000, LoadsPerSecond: 4, ConcurrentLoads: 6, KeepsStaged: 1, FormTime: 300 * time.Millisecond,
			Models: []fleet.Model{{Name: "a", Size: number("BIG", 4), WorkShare: 0.67, TimeFactor: 1, LoadTime: 16 * time.Second, StagedLoadTime: 1600 * time.Millisecond}, {Name: "b", Size: number("SMALL", 2), WorkShare: 0.33, TimeFactor: 0.6, LoadTime: 12 * time.Second, StagedLoadTime: 1100 * time.Millisecond}}}
		w.config = &fleet.Configuration{Revision: 1, Services: map[string]*fleet.Service{"models": {Name: "models", Engine: w.engine}}}
		w.config.Index()
		w.mu.Lock()
		for i := range 2 * number("PERDOM", 8) {
			w.add([]string{"d0", "d1"}[i%2])
		}
		w.mu.Unlock()
		ctx, cancel := context.WithCancel(context.Background())
		var controllers []context.CancelFunc
		w.term, w.leads = 1, true
		begin := func(index int, first bool) {
			cctx, stop := context.WithCancel(ctx)
			controllers = append(controllers, stop)
			c := formation.NewController(formation.Options{View: w.view, Orderer: w, FirstStart: first, StalledHeads: w.stalled, IsBusy: func(string) bool { return w.r.Intn(2) == 0 },
				Traffic: func() bool { return time.Since(w.begun) > 10*time.Second }, Log: eventlog.Discard(), Metrics: tally.NoopScope,
				Leads: func() (int64, bool) {
					w.mu.Lock()
					defer w.mu.Unlock()
					return w.term, w.leads && w.leader == index
				}})
			go c.Run(cctx)
		}
		for i := range 3 {
			begin(i, true)
		}
		end := time.Now().Add(100 * time.Second)
		next := time.Now().Add(8 * time.Second)
		for time.Now().Before(end) {
			time.Sleep(20 * time.Millisecond)
			w.mu.Lock()
			w.tick()
			if time.Now().After(next) {
				next = time.Now().Add(time.Duration(w.r.Intn(1500)) * time.Millisecond)
				w.fault(begin)
			}
			w.mu.Unlock()
		}
		cancel()
		time.Sleep(30 * time.Second)
		w.mu.Lock()
		broken, log = w.broken, w.log
		w.mu.Unlock()
	})
	if dir := os.Getenv("LOGS"); len(broken) > 0 && dir != "" {
		_ = os.WriteFile(fmt.Sprintf("%s/%d.log", dir, seed), []byte(strings.Join(log, "\n")+"\n"), 0o600)
	}
	return broken
}

func (w *world) fault(begin func(int, bool)) {
	var alive []*host
	for _, id := range func() []string {
		var ids []string
		for id := range w.hosts {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		return ids
	}() {
		if w.hosts[id].alive {
			alive = append(alive, w.hosts[id])
		}
	}
	if len(alive) == 0 {
		return
	}
	h := alive[w.r.Intn(len(alive))]
	forTime := time.Duration(300+w.r.Intn(6000)) * time.Millisecond
	later := func(d time.Duration, f func()) {
		time.AfterFunc(d, func() { w.mu.Lock(); defer w.mu.Unlock(); f() })
	}
	switch w.r.Intn(10) {
	case 0, 1: // crash and restart under the same ID or another one
		w.note("crash %s", h.id)
		h.alive = false
		h.life++
		h.lapseAt = time.Now().Add(lapse)
		same := w.r.Intn(2) == 0
		later(forTime, func() {
			if !same {
				w.add(h.domain)
				return
			}
			w.note("restart %s", h.id)
			h.alive, h.born, h.group, h.highest, h.lastModel = true, time.Now(), nil, 0, ""
			h.cutLeader, h.cutStore, h.draining = false, false, false
			w.register(h)
		})
	case 2: // cut from the store
		w.note("cut from store %s", h.id)
		h.cutStore = true
		later(forTime+2*time.Second, func() { h.cutStore = false; w.register(h) })
	case 3: // cut from the nodes
		w.note("cut from leader %s", h.id)
		h.cutLeader = true
		later(forTime, func() { h.cutLeader = false })
	case 4: // silent
		w.note("silent %s", h.id)
		h.silent = time.Now().Add(time.Duration(300+w.r.Intn(2500)) * time.Millisecond)
	case 5: // late orders
		w.note("late orders")
		w.lateShare, w.lostShare = rate("LATE", 0.4), rate("LOST", 0.2)
		later(forTime, func() { w.lateShare, w.lostShare = 0, 0 })
	case 6: // another leader
		w.note("leader %d ends", w.leader)
		w.leads = false
		former := w.leader
		later(time.Duration(300+w.r.Intn(2500))*time.Millisecond, func() {
			w.term++
			w.leader, w.leads = (former+1)%3, true
			w.note("leader %d term %d", w.leader, w.term)
		})
	case 7: // drains
		w.note("drain %s", h.id)
		h.draining = true
		w.register(h)
		later(2500*time.Millisecond+forTime, func() {
			h.alive = false
			h.life++
			h.lapseAt = time.Now()
			w.add(h.domain)
		})
	case 8: // a group's head is cut from the store, then from the nodes
		w.note("cut both %s", h.id)
		h.cutStore, h.cutLeader = true, true
		later(forTime+time.Second, func() { h.cutStore, h.cutLeader = false, false; w.register(h) })
	case 9: // several at once
		for range 3 {
			x := alive[w.r.Intn(len(alive))]
			w.note("silent %s", x.id)
			x.silent = time.Now().Add(time.Duration(300+w.r.Intn(2500)) * time.Millisecond)
		}
	}
}

func TestPlays(t *testing.T) {
	first, count := int64(1), 20
	if n, err := strconv.ParseInt(os.Getenv("SEED"), 10, 64); err == nil {
		first = n
	}
	if n, err := strconv.Atoi(os.Getenv("COUNT")); err == nil {
		count = n
	}
	for i := range count {
		if broken := play(t, first+int64(i)); len(broken) > 0 {
			fmt.Printf("seed %d: %v\n", first+int64(i), broken[:min(3, len(broken))])
		}
	}
}

func rate(name string, value float64) float64 {
	if f, err := strconv.ParseFloat(os.Getenv(name), 64); err == nil {
		return f
	}
	return value
}
