// Package leader elects the node that forms groups, through a lease in a row of
// the table service. The term of a leader fences its orders: epochs of a later
// term are higher.
//
// While a leader renews its lease, only it calls the table service. The other
// nodes learn how long the lease still runs from notices in the digests that
// nodes send each other, and read the row once the notices stop. The number of
// calls therefore does not grow with the number of nodes, and a new leader follows
// about one leaseTTL after the last notice of the old one.
//
// The gateway runs a Candidate on every node. Only Run and Release call the table
// service and may block.
package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/position"
)

// Times of the election.
const (
	// renewInterval is the time between two renewals. A leader that cannot renew
	// stops leading after three missed renewals.
	renewInterval = 600 * time.Millisecond
	// leaseTTL is how long a lease runs, counted from just before its last write
	// was sent.
	leaseTTL = 2 * time.Second
	// takeoverMargin is how long after the end of a lease another node waits
	// before it takes over, because clocks run at different rates.
	takeoverMargin = 250 * time.Millisecond
	// watchInterval is the time between two reads of the row by a node that has
	// no notice of a running lease. watchJitter, added at random, keeps the nodes
	// from reading at the same time.
	watchInterval = 300 * time.Millisecond
	watchJitter   = 200 * time.Millisecond
	// failureBackoff is the delay after a failed call.
	failureBackoff = 200 * time.Millisecond
	// stepTimeout limits one election step, which makes up to three calls.
	stepTimeout = 600 * time.Millisecond
)

// rowKey is the key of the leader's row.
const rowKey = "leader"

// MaxTerm limits the terms: it is more than there are elections, and leaves room for
// the epochs of all terms. Another writer may store a row with a higher term, which
// must not be counted up from.
const MaxTerm = 3_000_000_000

// unknownHolder is the holder of a row that cannot be used.
const unknownHolder = "unknown"

// ErrConflict reports that the version of a row was not the expected one.
var ErrConflict = errors.New("the row has changed; read it again")

// ErrEraChanged reports a write that was carried out after the store had come back from
// an older copy, on a row that may have been another one than expected.
var ErrEraChanged = fmt.Errorf("the store has come back from an older copy: %w", ErrConflict)

// Rows is the part of the table service that an election needs.
type Rows interface {
	// Get reads one row. It returns Version 0 and no error if the row is absent.
	Get(ctx context.Context, key string) (table.Row, error)
	// Put writes a row if its version is that of expect, and returns its new
	// position. It returns a wrapped ErrConflict if the version differs, and a wrapped
	// ErrEraChanged if the row was written in another era than that of expect. After
	// any other error the row may have been written, or may still be.
	Put(ctx context.Context, key string, expect position.Position, value json.RawMessage) (position.Position, error)
}

// row is the value of the leader's row. Holder is empty after a release.
type row struct {
	Holder   string `json:"holder"`
	Term     int64  `json:"term"`
	Renewals int64  `json:"renewals"`
	// Era is that of the row that this one was made from. A write carried out late may
	// replace a row of a later era that has the same version.
	Era int64 `json:"era,omitempty"`
}

// LeaseNotice is a notice to other nodes of a leader's running lease.
type LeaseNotice struct {
	// Position is that of the leader's row, and Term its term.
	position.Position
	Term int64 `json:"term,omitempty"`
	// Remaining is how long the lease still runs without another renewal.
	Remaining time.Duration `json:"left"`
}

// Clock returns the time since a fixed moment. It must advance while the host is
// suspended; otherwise a resumed leader would still trust its expired lease.
type Clock func() time.Duration

// Candidate takes part in the election. It is safe for concurrent use.
type Candidate struct {
	rows Rows
	// holder is the name of this process in the row: the node name and a UUID.
	holder string
	clock  Clock
	log    *eventlog.Logger

	// calling holds a token while a step or a release calls the table service, so that
	// a release follows the write of a step under way.
	calling chan struct{}

	mu sync.Mutex
	// started is when Run began.
	started time.Duration
	// position is that of the row as last known.
	position    position.Position
	row         row
	ownLeaseEnd time.Duration
	// highestTerm is the highest term that this node has seen.
	highestTerm int64
	// mustRetake is true if the row names this node although it does not hold the
	// lease: the store came back from a copy that is older than the lease's end.
	mustRetake bool
	// versionSeenAt is when this node first learned of position, or sent the write
	// that made it, and eraSeenAt when it learned of its era.
	versionSeenAt, eraSeenAt time.Duration
	// otherLeaseEnd is when the lease of another node ends according to a notice
	// with this position, or 0 without a notice.
	otherLeaseEnd time.Duration
	// tableFailing is true while calls to the table service fail.
	tableFailing bool
	released     bool
}

// New returns a candidate that takes no part in the election until Run. The node
// name is part of the holder in the row.
func New(rows Rows, node string, clock Clock, log *eventlog.Logger) *Candidate {
	return &Candidate{rows: rows, holder: node + "/" + uuid.NewString(), clock: clock, log: log, calling: make(chan struct{}, 1)}
}

// Leads returns whether this node leads, and its term. It does not block.
func (c *Candidate) Leads() (term int64, leads bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released || c.mustRetake || c.row.Holder != c.holder || c.clock() >= c.ownLeaseEnd {
		return 0, false
	}
	return c.row.Term, true
}

// Notice returns the notice to send to other nodes: of this node's lease, or of
// another node's lease known from a notice. It is nil if no lease is known to run,
// and after Release.
func (c *Candidate) Notice() *LeaseNotice {
	c.mu.Lock()
	defer c.mu.Unlock()
	remaining := c.otherLeaseEnd - c.clock()
	if c.row.Holder == c.holder {
		remaining = c.ownLeaseEnd - c.clock()
	}
	if c.released || remaining <= 0 {
		return nil
	}
	return &LeaseNotice{Position: c.position, Term: c.highestTerm, Remaining: remaining}
}

// ObserveLease processes a notice from another node, which is of that node's
// own lease or forwarded. Network delay only makes the lease look longer.
func (c *Candidate) ObserveLease(notice LeaseNotice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The term of an earlier row counts too: the present row may not show it, if
	// another writer has replaced the one of that lease.
	if notice.Term < MaxTerm {
		c.highestTerm = max(c.highestTerm, notice.Term)
	}
	if notice.Before(c.position) {
		return // notice of an earlier row
	}
	now := c.clock()
	if c.position.Before(notice.Position) {
		c.moveTo(notice.Position, now)
		c.row = row{}
	}
	if c.row.Holder == c.holder {
		return // notice of this node's own lease, forwarded
	}
	c.otherLeaseEnd = max(c.otherLeaseEnd, now+notice.Remaining)
}

// moveTo records a new position of the row. Behind a later row, known from a notice, a
// late answer gives no lease: the next renewal shows whose the row is. The caller must
// hold mu.
func (c *Candidate) moveTo(to position.Position, now time.Duration) {
	if to.Before(c.position) {
		c.ownLeaseEnd = 0
	}
	if to.Era != c.position.Era { // also for a node that has just started
		c.eraSeenAt = now
	}
	c.position, c.versionSeenAt, c.otherLeaseEnd = to, now, 0
}

// Eligibility says whether and when a node may take the lease. Its functions must
// not block.
type Eligibility struct {
	// MayLead reports whether the node may take the lease at present.
	MayLead func() bool
	// Deference is how much longer than other nodes this one waits after the end of
	// a lease, or after its start, before it calls the table service. Nodes that
	// are better suited lead unless all of them have failed.
	Deference func() time.Duration
	// HighestTerm returns the highest term below MaxTerm whose orders the node has seen
	// carried out.
	// A row from an older copy of the store may have a lower one.
	HighestTerm func() int64
}

// Run takes part in the election until ctx ends.
func (c *Candidate) Run(ctx context.Context, e Eligibility) {
	c.mu.Lock()
	c.started = c.clock()
	c.mu.Unlock()
	for ctx.Err() == nil {
		delay, err := c.step(ctx, e)
		if err != nil && ctx.Err() == nil {
			c.recordFailure(err)
			delay = failureBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// step renews this node's lease, or reads the row and takes the lease if it is
// free. It returns the delay until the next step.
func (c *Candidate) step(ctx context.Context, e Eligibility) (time.Duration, error) {
	c.calling <- struct{}{}
	defer func() { <-c.calling }()
	stepCtx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	watchDelay := watchInterval + rand.N(watchJitter)
	switch {
	case c.isReleased():
		return watchDelay, nil
	case c.ownsRow():
		if err := c.renew(stepCtx); err != nil {
			return 0, err
		}
		c.recordSuccess()
		return renewInterval, nil
	case c.otherLeaseRuns() || c.defers(e.Deference()):
		return watchDelay, nil
	}
	stored, readAt, err := c.readRow(stepCtx)
	if err != nil {
		return 0, err
	}
	c.recordSuccess()
	if !c.isFree(stored) || !e.MayLead() {
		return watchDelay, nil
	}
	if err := c.writeRow(stepCtx, row{Holder: c.holder, Term: max(stored.Term, c.seenTerm(), e.HighestTerm()) + 1}, readAt); err != nil {
		return watchDelay, err
	}
	if term, leads := c.Leads(); leads {
		c.log.Log(eventlog.LeaderElected, eventlog.Fields{"term": term, "former": stored.Holder})
	}
	return renewInterval, nil
}

// ownsRow reports whether this node is the holder in the row as last known, even
// if its lease has run out.
func (c *Candidate) ownsRow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.row.Holder == c.holder && !c.released && !c.mustRetake
}

// seenTerm returns the highest term that this node has seen in rows and notices.
func (c *Candidate) seenTerm() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.highestTerm
}

func (c *Candidate) isReleased() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.released
}

// otherLeaseRuns reports whether another node's lease, known from a notice, still
// runs or ended less than takeoverMargin ago. Nobody can take it until then, so
// the row need not be read.
func (c *Candidate) otherLeaseRuns() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.otherLeaseEnd > 0 && c.clock() <= c.otherLeaseEnd+takeoverMargin
}

// defers reports whether this node still leaves the lease to better suited nodes:
// the start of the node, the end of the last lease known from a notice, or the last
// sight of a new version of the row is at most the given time ago.
func (c *Candidate) defers(deference time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if deference <= 0 {
		return false
	}
	return c.clock() <= max(c.started, c.otherLeaseEnd, c.versionSeenAt)+deference
}

// decodeRow decodes the row. One that another writer has made unusable counts as that
// of an unknown holder, with an error for the log: it is replaced after a lease.
func decodeRow(got table.Row) (row, error) {
	var stored row
	if got.Version == 0 {
		return stored, nil
	}
	err := json.Unmarshal(got.Value, &stored)
	if err == nil && (stored.Term < 1 || stored.Term >= MaxTerm) {
		err = fmt.Errorf("its term is %d, want 1 to %d", stored.Term, int64(MaxTerm-1))
	}
	if err != nil {
		// The error may contain the row.
		return row{Holder: unknownHolder}, fmt.Errorf("the leader's row cannot be used and is replaced once its lease must have ended: %.200s", err)
	}
	return stored, nil
}

// readRow reads the row, and records when its version was first seen. It returns the
// position that was read: that of the candidate moves on with each notice.
func (c *Candidate) readRow(ctx context.Context) (row, position.Position, error) {
	got, err := c.rows.Get(ctx, rowKey)
	if err != nil {
		return row{}, position.Position{}, fmt.Errorf("read the leader's row: %w", err)
	}
	stored, unusable := decodeRow(got)
	c.mu.Lock()
	defer c.mu.Unlock()
	at := got.Position()
	if unusable != nil && at != c.position {
		c.log.Log(eventlog.LeaderUnknown, eventlog.Fields{"error": unusable.Error(), "led": c.row.Holder == c.holder})
	}
	if stored.Holder == c.holder && (c.row.Holder != c.holder || c.row.Term != stored.Term || c.row.Renewals < stored.Renewals) {
		// A write whose answer was lost. In the era of the row that it was made from, it
		// replaced that one. In another one it may have replaced the row of another
		// leader, and a copy may be older than the end of this lease.
		c.mustRetake = stored.Era != at.Era
	}
	if at != c.position || c.versionSeenAt == 0 {
		c.moveTo(at, c.clock())
	}
	c.row = stored
	c.highestTerm = max(c.highestTerm, stored.Term)
	return stored, at, nil
}

// isFree reports whether the lease may be taken: it was released, or it must have
// ended according to the age of the row's version or a notice. A lease that an older
// copy of the store does not show may run as long as any.
func (c *Candidate) isFree(stored row) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	leaseEnd := c.versionSeenAt + leaseTTL
	if c.otherLeaseEnd > 0 {
		leaseEnd = min(leaseEnd, c.otherLeaseEnd)
	}
	if c.eraSeenAt > 0 && c.clock() <= c.eraSeenAt+leaseTTL+takeoverMargin {
		return false
	}
	return stored.Holder == "" || c.clock() > leaseEnd+takeoverMargin
}

// renew extends this node's lease, even one that ran out while nobody took it.
func (c *Candidate) renew(ctx context.Context) error {
	c.mu.Lock()
	next, expect := c.row, c.position
	c.mu.Unlock()
	if next.Holder != c.holder {
		return nil // a notice of another node's lease has come since
	}
	next.Renewals++
	return c.writeRow(ctx, next, expect)
}

// writeRow writes the row if it is still the one at expect, from which next was made.
// The lease runs from before the write was sent.
func (c *Candidate) writeRow(ctx context.Context, next row, expect position.Position) error {
	next.Era = expect.Era
	sent := c.clock()
	written, err := c.putRow(ctx, next, expect)
	if err == nil && written.Era != expect.Era {
		err = ErrEraChanged // an absent row has version 0 in each era
	}
	if errors.Is(err, ErrConflict) {
		return c.resolveConflict(ctx, errors.Is(err, ErrEraChanged))
	}
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownLeaseEnd = sent + leaseTTL
	c.moveTo(written, sent)
	c.row, c.mustRetake, c.highestTerm = next, false, max(c.highestTerm, next.Term)
	return nil
}

// putRow writes the row without changing the state of the candidate.
func (c *Candidate) putRow(ctx context.Context, next row, expect position.Position) (position.Position, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return position.Position{}, fmt.Errorf("encode the leader's row: %w", err)
	}
	written, err := c.rows.Put(ctx, rowKey, expect, value)
	if err != nil {
		return position.Position{}, fmt.Errorf("write the leader's row: %w", err)
	}
	return written, nil
}

// resolveConflict reads the row after a conflict. Either an earlier write of this
// node was done but its answer was lost, or another node leads. If replacedUnknown is
// true, the row may have been that of another leader before this node wrote it.
func (c *Candidate) resolveConflict(ctx context.Context, replacedUnknown bool) error {
	if replacedUnknown {
		c.mu.Lock()
		c.row = row{}
		c.mu.Unlock()
	}
	stored, _, err := c.readRow(ctx)
	if err != nil {
		return err
	}
	if stored.Holder != c.holder {
		c.log.Log(eventlog.LeaderLost, eventlog.Fields{"to": stored.Holder, "term": stored.Term})
	}
	return nil
}

// Release ends this node's lease for a planned stop, so that another node need
// not wait for its end. The node takes no further part in the election.
func (c *Candidate) Release(ctx context.Context) error {
	c.mu.Lock()
	c.released = true
	c.mu.Unlock()
	select {
	case c.calling <- struct{}{}:
		defer func() { <-c.calling }()
	case <-ctx.Done():
		return fmt.Errorf("release the leader's lease: %w; it expires on its own", ctx.Err())
	}
	c.mu.Lock()
	owns := c.row.Holder == c.holder && !c.mustRetake
	next, expect := row{Term: c.row.Term}, c.position
	c.mu.Unlock()
	if !owns {
		return nil
	}
	if _, err := c.putRow(ctx, next, expect); err != nil {
		return fmt.Errorf("release the leader's lease: %w; it expires on its own", err)
	}
	return nil
}

// recordFailure logs the first of a series of failed calls.
func (c *Candidate) recordFailure(err error) {
	c.mu.Lock()
	firstFailure := !c.tableFailing
	c.tableFailing = true
	led := c.row.Holder == c.holder
	c.mu.Unlock()
	if firstFailure {
		c.log.Log(eventlog.LeaderUnknown, eventlog.Fields{"error": err.Error(), "led": led})
	}
}

// recordSuccess ends a series of failed calls.
func (c *Candidate) recordSuccess() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tableFailing = false
}
