package share

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/version/configlog"
	"currantladder.example/currantladder/internal/version/snapshot"
)

// Session is the state of this node's leased session.
type Session struct {
	// Incarnation is the epoch of the session row; 0 before the first.
	Incarnation int64
	// Proven is the moment before the last successful renewal was sent.
	Proven time.Time
}

// HostView is the platform's host list as this node last read it.
type HostView struct {
	List hostlist.List
	// Sent is the moment before the list was asked for; zero before the first.
	Sent time.Time
}

// Options configures a Manager. All functions must not block.
type Options struct {
	Node string
	// Address is the host:port of the peer listener. A host list that names
	// the node with another address is no proof for this process.
	Address string
	Store   table.Store
	View    configlog.View
	Peers   PeerClient
	// Live returns the names of live nodes, this one included.
	Live func() []string
	// FleetSize returns the number of nodes of all regions; nil where Live
	// names them all.
	FleetSize func() int
	Session   func() Session
	Hosts     func() HostView
	// Void is how long the node may go without proof that it is known to be
	// live before it gives up its shares.
	Void time.Duration
	// Margin is added to Void before the shares of another node are
	// reclaimed. It covers the lag of the host list and the drift of clocks.
	Margin time.Duration
	// RequestLimit is the longest time that an admitted request may run. The
	// in-flight slots of an absent process are reclaimed only after it, since
	// its requests may go on at endpoints.
	RequestLimit time.Duration
	Log          *eventlog.Logger
}

// Periods and bounds of the duty.
const (
	tickPeriod  = 100 * time.Millisecond
	readPeriod  = 3 * time.Second
	callTimeout = time.Second
	// fleetWrites is the number of moves a second that all nodes together may
	// commit; nodes divide it among themselves.
	fleetWrites = 100
	// maxNodeWrites and minNodeWrites bound one node's part of it.
	maxNodeWrites = 8
	minNodeWrites = 0.3
	writeBurst    = 8
	// nodeAsks is the number of release requests a second that a node sends.
	nodeAsks = 8
	askBurst = 8
	// jobQueue is the capacity of the queue of moves. A move that finds it
	// full is decided again at the next tick.
	jobQueue = 16
	workers  = 4
	// listGap is the longest time between two readings of the host list that
	// count as continuous. The list must not name a host for less than that.
	listGap = 10 * time.Second
	// fleetReads is the number of periodic reads a second of all nodes.
	fleetReads = 100
	// nodeReadBytes bounds the share rows that a node reads in one second, on
	// average. Rows that a move needs are read besides.
	nodeReadBytes = 20_000
	// rowsPerRead bounds the rows of one read.
	rowsPerRead = 32
)

// Manager holds this process's shares of all accounts. It implements Limiter
// and is safe for concurrent use. Admission never waits for I/O.
type Manager struct {
	options Options
	holder  string
	writes  *rate.Limiter
	asks    *rate.Limiter
	jobs    chan job
	// sighting is of the host list that was searched last.
	sighting atomic.Pointer[sighting]

	mu       sync.Mutex
	ledgers  map[string]*ledger
	snapshot *snapshot.Snapshot
	presence presence
	stopped  bool
	// readable is the earliest moment at which a read may have been sent for
	// its answer to be used.
	readable time.Time
	askers   map[string]*asker
	dead     *deathWatch
	// foreign is when the host list last named this node with another address.
	foreign time.Time
}

// NewManager returns a manager that holds nothing until Run has read or
// created the share rows.
func NewManager(o Options) *Manager {
	if o.Log == nil {
		o.Log = eventlog.Discard()
	}
	return &Manager{
		options: o,
		holder:  rand.Text(),
		writes:  rate.NewLimiter(maxNodeWrites, writeBurst),
		asks:    rate.NewLimiter(nodeAsks, askBurst),
		jobs:    make(chan job, jobQueue),
		ledgers: map[string]*ledger{},
		askers:  map[string]*asker{},
		dead:    newDeathWatch(o.Void+o.Margin, listGap),
	}
}

// admission implements Admission.
type admission struct {
	manager *Manager
	account string
	cost    float64
	once    sync.Once
}

// Admit implements Limiter. The time of the decision is taken inside, so that
// a process that was paused before it decides by the time after the pause.
func (m *Manager) Admit(account string, costTokens int64, _ time.Time) (Admission, *refusal.Error) {
	now, unlock := m.enter()
	defer unlock()
	l := m.ledgers[account]
	if l == nil {
		return nil, refusal.New(refusal.KindCapExceeded, http.StatusTooManyRequests, "account "+account+" has no cap here yet; send the request again").After(minRetryAfter)
	}
	v := l.admit(float64(costTokens), now)
	if v.admitted {
		return &admission{manager: m, account: account, cost: float64(costTokens)}, nil
	}
	return nil, refuse(account, v)
}

func refuse(account string, v verdict) *refusal.Error {
	what := "tokens a second"
	if v.slot {
		what = "requests in flight"
	}
	return refusal.New(refusal.KindCapExceeded, http.StatusTooManyRequests, "account "+account+" has reached its cap of "+what+"; send the request again later or ask the operator for a higher cap").After(v.wait)
}

// Settle implements Admission.
func (a *admission) Settle(usedTokens int64) {
	a.once.Do(func() { a.manager.settle(a.account, a.cost, float64(usedTokens)) })
}

func (m *Manager) settle(account string, cost, used float64) {
	now, unlock := m.enter()
	defer unlock()
	m.ledgers[account].settle(cost, used, now)
}

// enter takes the lock, brings caps and presence up to date and returns the
// time of the decision. The evidence is read before that time is taken.
func (m *Manager) enter() (now time.Time, unlock func()) {
	proof := evidence{session: m.options.Session(), listed: m.listedAt()}
	m.mu.Lock()
	now = time.Now()
	m.refreshCaps(now)
	m.refreshPresence(proof, now)
	return now, m.mu.Unlock
}

// refreshCaps takes the caps of the snapshot in force. The ledger of a
// removed account stays, with a cap of zero, for requests that still run.
func (m *Manager) refreshCaps(now time.Time) {
	current := m.options.View.Current()
	if current == m.snapshot {
		return
	}
	m.snapshot = current
	for name, l := range m.ledgers {
		if current.Account(name) == nil {
			l.setCap(Cap{}, now)
		}
	}
	for name, account := range current.Accounts() {
		l := m.ledgers[name]
		if l == nil {
			l = &ledger{holder: m.holder, stale: true, row: Row{Account: name}}
			m.ledgers[name] = l
		}
		l.setCap(Cap{account.TokensPerSecond, float64(account.BurstTokens), account.MaxInFlight}, now)
	}
}

// refreshPresence gives up every share once the node's presence is void.
func (m *Manager) refreshPresence(proof evidence, now time.Time) {
	before := m.presence.valid
	lapsed := m.presence.observe(proof, now, m.options.Void)
	if lapsed {
		m.forgetAll(now)
	}
	if m.presence.valid && !before {
		m.readable = m.presence.since
		m.options.Log.Log(eventlog.SharesReturned, eventlog.Fields{"incarnation": m.presence.incarnation})
	}
}

func (m *Manager) forgetAll(now time.Time) {
	for _, l := range m.ledgers {
		l.forget(now)
	}
	m.options.Log.Log(eventlog.SharesVoid, eventlog.Fields{"proven": m.presence.proven})
}

// sighting tells whether the host list that was asked for at sent names this
// process.
type sighting struct {
	sent  time.Time
	named bool
}

// listedAt returns the moment before the last host list was asked for that
// names this process, or zero. Each list is searched once.
func (m *Manager) listedAt() time.Time {
	view := m.options.Hosts()
	seen := m.sighting.Load()
	if seen == nil || !seen.sent.Equal(view.Sent) {
		seen = &sighting{view.Sent, names(view.List, m.options.Node, m.options.Address)}
		m.sighting.Store(seen)
	}
	if seen.named {
		return view.Sent
	}
	return time.Time{}
}

// admitting tells whether shares may be read and used.
func (m *Manager) admitting() bool { return !m.stopped && m.presence.valid }

// callContext bounds one call of the duty.
func callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, callTimeout)
}
