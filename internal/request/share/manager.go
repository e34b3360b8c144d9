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
	// Incarnation is the epoch of the session row; 0 before the first session.
	Incarnation int64
	// LastRenewalSent is the time just before the last successful renewal was sent.
	LastRenewalSent time.Time
}

// HostView is the platform's host list as this node last read it.
type HostView struct {
	List hostlist.List
	// RequestedAt is the time just before the list was requested; zero before the
	// first list.
	RequestedAt time.Time
}

// Options configures a Manager. None of the functions may block.
type Options struct {
	Node string
	// Address is the host:port of the peer listener. A host list that names
	// the node with another address is no evidence that this process is live.
	Address string
	Store   table.Store
	View    configlog.View
	Peers   PeerClient
	// LiveNodes returns the names of the live nodes, including this one.
	LiveNodes func() []string
	// FleetSize returns the number of nodes of all regions. It may be nil if
	// LiveNodes covers all regions.
	FleetSize func() int
	Session   func() Session
	Hosts     func() HostView
	// PresenceTimeout is how long the node keeps its shares without evidence that
	// other nodes see it as live: a session renewal or a host list that names it.
	PresenceTimeout time.Duration
	// ReclaimMargin is added to PresenceTimeout before the shares of another node are
	// reclaimed. It covers the lag of the host list and clock drift.
	ReclaimMargin time.Duration
	// RequestTimeout is the longest time that an admitted request may run. The
	// in-flight slots of an absent process are reclaimed only after this
	// additional time, since its requests may still run at endpoints.
	RequestTimeout time.Duration
	Log            *eventlog.Logger
}

// Intervals, rates and limits of Run.
const (
	tickInterval = 100 * time.Millisecond
	readInterval = 3 * time.Second
	callTimeout  = time.Second
	// fleetWritesPerSecond is the number of moves that all nodes together may
	// commit each second. Each node gets an equal part.
	fleetWritesPerSecond = 100
	// maxNodeWritesPerSecond and minNodeWritesPerSecond bound one node's part.
	maxNodeWritesPerSecond = 8
	minNodeWritesPerSecond = 0.3
	writeBurst             = 8
	// nodeAsksPerSecond is the rate limit of a node's release requests to peers.
	nodeAsksPerSecond = 8
	askBurst          = 8
	// moveQueueCapacity limits the queue of moves. A move that does not fit is
	// decided again at a later tick.
	moveQueueCapacity = 16
	moveWorkers       = 4
	// maxListGap is the longest time between two reads of the host list for which
	// an absence counts as unbroken. The platform must list a host for at least
	// this long.
	maxListGap = 10 * time.Second
	// fleetReadsPerSecond is the rate at which all nodes together start
	// periodic reads of all rows.
	fleetReadsPerSecond = 100
	// nodeReadBytesPerSecond limits the average rate at which a node reads share
	// rows periodically. Reads of single rows for moves come on top.
	nodeReadBytesPerSecond = 20_000
	// rowsPerPage limits the rows of one read.
	rowsPerPage = 32
)

// Manager holds this process's shares of all accounts. It implements Limiter
// and is safe for concurrent use. Admission never waits for I/O.
type Manager struct {
	options Options
	// holder identifies this process in share rows.
	holder       string
	writeLimiter *rate.Limiter
	askLimiter   *rate.Limiter
	moves        chan move
	// ownListing is the result for the host list that was searched last.
	ownListing atomic.Pointer[ownListing]

	mu       sync.Mutex
	ledgers  map[string]*ledger
	snapshot *snapshot.Snapshot
	presence presence
	stopped  bool
	// readsValidFrom is the earliest send time of a read whose answer may be
	// used.
	readsValidFrom time.Time
	pacers         map[string]*pacer
	absences       *absenceDetector
	// listedElsewhereAt is when the host list last named this node with another
	// address.
	listedElsewhereAt time.Time
}

// NewManager returns a manager without shares; Run acquires them.
func NewManager(o Options) *Manager {
	if o.Log == nil {
		o.Log = eventlog.Discard()
	}
	return &Manager{
		options:      o,
		holder:       rand.Text(),
		writeLimiter: rate.NewLimiter(maxNodeWritesPerSecond, writeBurst),
		askLimiter:   rate.NewLimiter(nodeAsksPerSecond, askBurst),
		moves:        make(chan move, moveQueueCapacity),
		ledgers:      map[string]*ledger{},
		pacers:       map[string]*pacer{},
		absences:     newAbsenceDetector(o.PresenceTimeout+o.ReclaimMargin, maxListGap),
	}
}

// admission implements Admission for one request.
type admission struct {
	manager *Manager
	account string
	cost    float64
	once    sync.Once
}

// Admit implements Limiter. It ignores the given time and reads the clock under
// the lock: a process that was paused after the caller took the time must not
// admit requests by shares that have lapsed during the pause.
func (m *Manager) Admit(account string, costTokens int64, _ time.Time) (Admission, *refusal.Error) {
	now, unlock := m.lockAndRefresh()
	defer unlock()
	l := m.ledgers[account]
	if l == nil {
		return nil, refusal.New(refusal.KindCapExceeded, http.StatusTooManyRequests, "account "+account+" has no cap here yet; send the request again").WithRetryAfter(minRetryAfter)
	}
	d := l.admit(float64(costTokens), now)
	if d.admitted {
		return &admission{manager: m, account: account, cost: float64(costTokens)}, nil
	}
	return nil, refusalFor(account, d)
}

func refusalFor(account string, d decision) *refusal.Error {
	resource := "tokens a second"
	if d.noSlot {
		resource = "requests in flight"
	}
	return refusal.New(refusal.KindCapExceeded, http.StatusTooManyRequests, "account "+account+" has reached its cap of "+resource+"; send the request again later or ask the operator for a higher cap").WithRetryAfter(d.retryAfter)
}

// Settle implements Admission.
func (a *admission) Settle(usedTokens int64) {
	a.once.Do(func() { a.manager.settle(a.account, a.cost, float64(usedTokens)) })
}

func (m *Manager) settle(account string, cost, used float64) {
	now, unlock := m.lockAndRefresh()
	defer unlock()
	m.ledgers[account].settle(cost, used, now)
}

// lockAndRefresh takes the lock, updates caps and presence, and returns the current
// time, on which the caller must base its decision. The evidence is read before
// that time is taken.
func (m *Manager) lockAndRefresh() (now time.Time, unlock func()) {
	e := evidence{session: m.options.Session(), listedAt: m.ownListingAt()}
	m.mu.Lock()
	now = time.Now()
	m.refreshCaps(now)
	m.refreshPresence(e, now)
	return now, m.mu.Unlock
}

// refreshCaps applies the caps of the current snapshot. The ledger of a removed
// account stays, with a cap of zero, for requests that are still in flight.
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

// refreshPresence updates the presence and drops all holdings once it lapses.
func (m *Manager) refreshPresence(e evidence, now time.Time) {
	wasValid := m.presence.valid
	lapsed := m.presence.update(e, now, m.options.PresenceTimeout)
	if lapsed {
		m.dropAllHoldings(now)
	}
	if m.presence.valid && !wasValid {
		m.readsValidFrom = m.presence.validSince
		m.options.Log.Log(eventlog.SharesReturned, eventlog.Fields{"incarnation": m.presence.incarnation})
	}
}

func (m *Manager) dropAllHoldings(now time.Time) {
	for _, l := range m.ledgers {
		l.dropHolding(now)
	}
	m.options.Log.Log(eventlog.SharesGivenUp, eventlog.Fields{"proven": m.presence.latestEvidence})
}

// ownListing is whether the host list that was requested at requestedAt names
// this process.
type ownListing struct {
	requestedAt time.Time
	listed      bool
}

// ownListingAt returns when the current host list was requested if it names this
// process, or zero. Each list is searched only once.
func (m *Manager) ownListingAt() time.Time {
	view := m.options.Hosts()
	listing := m.ownListing.Load()
	if listing == nil || !listing.requestedAt.Equal(view.RequestedAt) {
		listing = &ownListing{view.RequestedAt, listsNode(view.List, m.options.Node, m.options.Address)}
		m.ownListing.Store(listing)
	}
	if listing.listed {
		return view.RequestedAt
	}
	return time.Time{}
}

// mayUseShares reports whether shares may be read and used. The caller must hold
// the lock.
func (m *Manager) mayUseShares() bool { return !m.stopped && m.presence.valid }

// callContext limits one call to a peer or the table service to callTimeout.
func callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, callTimeout)
}
