package coordinate

import (
	"cmp"
	"container/heap"
	"slices"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/version/fleet"
)

const (
	// maxExamined is the number of groups that one choice looks at, the least loaded
	// first.
	maxExamined = 12
	// domainBonus is subtracted from the cost of a group in the failure domain of the
	// asking node, in requests as a share of the slots.
	domainBonus = 0.04
	// minCoverage is the least part of the load known from digests that the reports to
	// this node must cover. Otherwise others do not report to it, and it does not choose.
	minCoverage      = 0.8
	coverageInterval = 100 * time.Millisecond
	// fullCost is more than any work that a group has before it, in seconds.
	fullCost = 1e6
	// coverageSlack is the difference in requests that is always allowed, since digests
	// are old.
	coverageSlack = 8
)

// Ledger knows what all nodes have in flight, and chooses the groups for them. It is
// safe for concurrent use.
type Ledger struct {
	board *place.Board

	mu   sync.Mutex
	keys map[Key]*keyLedger
}

// NewLedger returns an empty ledger. The board tells which hosts get no requests.
func NewLedger(board *place.Board) *Ledger { return &Ledger{board: board, keys: map[Key]*keyLedger{}} }

// keyLedger is the ledger of one key.
type keyLedger struct {
	nodes  map[string]*reporter
	groups map[string]*group
	// order holds the groups that are open in view, by cost.
	order         groupHeap
	view          *fleet.View
	covered       bool
	coverageUntil time.Time
	// expireAt is when reporters are next checked for their age.
	expireAt time.Time
}

// reporter is a node that reports its usage.
type reporter struct {
	life     int64
	sequence uint64
	at       time.Time
	groups   map[string]Load
	// reserved holds the answered asks that the node's reports do not count yet.
	reserved map[uint64]reservation
}

type reservation struct {
	host string
	load Load
}

// group is the load of a group over all nodes.
type group struct {
	host *fleet.Host
	id   string
	load Load
	cost float64
	// lastEvent is when a node had the last event from the group.
	lastEvent time.Time
	// index is the position in order, or -1 while the group is not open.
	index int
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
}

// Observe stores a report.
func (l *Ledger) Observe(u Usage, service *fleet.Service, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.key(u.Key).observe(u, service.Engine, now)
}

func (l *Ledger) key(key Key) *keyLedger {
	k := l.keys[key]
	if k == nil {
		k = &keyLedger{nodes: map[string]*reporter{}, groups: map[string]*group{}}
		l.keys[key] = k
	}
	return k
}

// Place chooses the group for an ask and reserves the room there. usage is the report
// that came with the ask, in which the ask is open.
func (l *Ledger) Place(usage Usage, ask Ask, service *fleet.Service, view *fleet.View, now time.Time) Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, engine := l.key(usage.Key), service.Engine
	k.observe(usage, engine, now)
	k.expire(engine, now)
	k.useView(view, usage.Key, engine)
	if !l.covers(k, now) {
		return Answer{ID: ask.ID}
	}
	chosen, full := l.choose(k, ask, ask.query(service, usage.Model), engine, now)
	if chosen == nil {
		return Answer{ID: ask.ID, Full: full}
	}
	if reporter := k.nodes[usage.Node]; slices.Contains(usage.Open, ask.ID) {
		load := Load{1, ask.PromptTokens, ask.Tokens}
		reporter.reserved[ask.ID] = reservation{chosen.id, load}
		k.add(chosen.id, load, 1, engine)
	}
	return Answer{ID: ask.ID, Host: chosen.id}
}

// choose returns the group with the lowest cost among those with room. Without one,
// full is true if the groups that were looked at have no room for the request.
func (l *Ledger) choose(k *keyLedger, ask Ask, q place.Query, engine *fleet.Engine, now time.Time) (chosen *group, full bool) {
	// A node suspects a group when its own streams there are silent for longer than most
	// passes. Events at other nodes show that the pass has ended.
	suspect := place.EngineStallThresholds(engine, engine.Model(q.Model), 0).Suspect
	var examined []*group
	best, bonus := 0.0, domainBonus*float64(engine.Slots)*requestCost(engine)
	for len(k.order) > 0 && len(examined) < maxExamined {
		g := heap.Pop(&k.order).(*group)
		examined = append(examined, g)
		if chosen != nil && g.cost-bonus >= best {
			break
		}
		if now.Sub(g.lastEvent) >= suspect && l.board.Suspected(g.id, now) {
			continue
		}
		limit := l.board.HostLimit(g.host, q, now)
		if limit <= 0 {
			continue
		}
		if g.load.Requests >= limit || engine.MemoryTokens > 0 && g.load.Requests > 0 && g.load.Tokens+ask.Tokens > engine.MemoryTokens {
			full = true
			continue
		}
		cost := g.cost
		if g.host.FailureDomain == ask.FailureDomain {
			cost -= bonus
		}
		if chosen == nil || cost < best {
			chosen, best = g, cost
		}
	}
	for _, g := range examined {
		heap.Push(&k.order, g)
	}
	return chosen, full && chosen == nil
}

// covers reports whether the reports make up most of the load that the digests show.
func (l *Ledger) covers(k *keyLedger, now time.Time) bool {
	if now.Before(k.coverageUntil) {
		return k.covered
	}
	reported, known := 0, 0
	for _, g := range k.order {
		reported += g.load.Requests
		known += l.board.Load(g.id, now)
	}
	k.covered, k.coverageUntil = float64(reported+coverageSlack) >= minCoverage*float64(known), now.Add(coverageInterval)
	return k.covered
}

func (k *keyLedger) observe(u Usage, engine *fleet.Engine, now time.Time) {
	r := k.nodes[u.Node]
	if r != nil && (u.Life < r.life || u.Life == r.life && u.Sequence <= r.sequence) {
		return
	}
	if r == nil || u.Life > r.life {
		k.forget(u.Node, engine)
		r = &reporter{life: u.Life, reserved: map[uint64]reservation{}}
		k.nodes[u.Node] = r
	}
	r.sequence, r.at = u.Sequence, now
	for id, load := range r.groups {
		k.add(id, load, -1, engine)
	}
	r.groups = u.Groups
	for id, load := range r.groups {
		k.add(id, load, 1, engine)
	}
	for id, quiet := range u.Quiet {
		if g := k.groups[id]; g != nil {
			if at := now.Add(-time.Duration(quiet) * time.Millisecond); at.After(g.lastEvent) {
				g.lastEvent = at
			}
		}
	}
	for id, reserved := range r.reserved {
		if !slices.Contains(u.Open, id) {
			k.add(reserved.host, reserved.load, -1, engine)
			delete(r.reserved, id)
		}
	}
}

// forget removes what a node has reported.
func (k *keyLedger) forget(node string, engine *fleet.Engine) {
	r := k.nodes[node]
	if r == nil {
		return
	}
	for id, load := range r.groups {
		k.add(id, load, -1, engine)
	}
	for _, reserved := range r.reserved {
		k.add(reserved.host, reserved.load, -1, engine)
	}
	delete(k.nodes, node)
}

// expire forgets the nodes whose reports have lapsed.
func (k *keyLedger) expire(engine *fleet.Engine, now time.Time) {
	if now.Before(k.expireAt) {
		return
	}
	k.expireAt = now.Add(usageTTL / 4)
	for node, r := range k.nodes {
		if now.Sub(r.at) > usageTTL {
			k.forget(node, engine)
		}
	}
}

// add adds a load to a group.
func (k *keyLedger) add(id string, load Load, sign int, engine *fleet.Engine) {
	g := k.groups[id]
	if g == nil {
		g = &group{id: id, index: -1}
		k.groups[id] = g
	}
	g.load = g.load.plus(load, sign)
	g.cost = cost(g.load, engine)
	if g.index >= 0 {
		heap.Fix(&k.order, g.index)
	} else if g.load == (Load{}) {
		delete(k.groups, id)
	}
}

// useView takes the open groups of the key from a view, if it is another one than
// before.
func (k *keyLedger) useView(view *fleet.View, key Key, engine *fleet.Engine) {
	if k.view == view {
		return
	}
	k.view = view
	for _, g := range k.order {
		g.index = -1
	}
	k.order = nil
	for _, host := range view.OpenHeads(key.Service, key.Model) {
		g := k.groups[host.ID]
		if g == nil {
			g = &group{id: host.ID}
			k.groups[host.ID] = g
		}
		g.host, g.cost, g.index = host, cost(g.load, engine), len(k.order)
		k.order = append(k.order, g)
	}
	for id, g := range k.groups {
		if g.index < 0 && g.load == (Load{}) {
			delete(k.groups, id)
		}
	}
	heap.Init(&k.order)
}

// cost is the work that a group has before it: the prompts that it has to prefill,
// and half of a mean answer for each request. Groups that are full for the urgent ranks
// come last, so that a choice among a few finds those with room.
func cost(load Load, engine *fleet.Engine) float64 {
	work := 0.0
	for rank := range 2 {
		if load.Requests >= place.RankLimit(engine, rank) {
			work += fullCost
		}
	}
	if engine.PrefillTokensPerSecond > 0 {
		work += float64(load.PrefillTokens) / engine.PrefillTokensPerSecond
	}
	return work + float64(load.Requests)*requestCost(engine)
}

// requestCost is the time of a full group, in seconds, that half of a mean answer
// takes.
func requestCost(engine *fleet.Engine) float64 {
	perToken := engine.StepTime.Seconds()/float64(max(engine.Slots, 1)) + engine.StepTimePerRequest.Seconds()
	return max(perToken*engine.MeanAnswerTokens/2, 1e-6)
}

// groupHeap implements heap.Interface.
type groupHeap []*group

func (h groupHeap) Len() int { return len(h) }
func (h groupHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].cost, h[j].cost), cmp.Compare(h[i].id, h[j].id)) < 0
}
func (h groupHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *groupHeap) Push(x any) {
	g := x.(*group)
	g.index = len(*h)
	*h = append(*h, g)
}

// Pop implements heap.Interface.
func (h *groupHeap) Pop() any {
	old := *h
	g := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	g.index = -1
	return g
}
