// Package leader elects one node for the formation of groups through a row of
// the table service. The term of a leader fences its orders: epochs of a later
// term are higher.
//
// Only the leader calls the table service. The others learn from its digests
// that it lives, and until when its lease runs; they read the row once the
// digests stop. So the calls do not grow with the nodes, and a new leader
// follows about one validity after the old one's last sign.
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
)

// Times of an election.
const (
	// renewPeriod and validity: a leader that cannot renew stops after three
	// missed renewals.
	renewPeriod = 600 * time.Millisecond
	validity    = 2 * time.Second
	// takeoverMargin covers clocks that run at different rates.
	takeoverMargin = 250 * time.Millisecond
	// watchPeriod is how often a node without signs of a leader reads the
	// row; jitter keeps nodes apart.
	watchPeriod = 300 * time.Millisecond
	watchJitter = 200 * time.Millisecond
	// failurePause follows a failed call.
	failurePause = 200 * time.Millisecond
	// callTimeout bounds one call.
	callTimeout = 600 * time.Millisecond
)

// rowKey is the key of the leader's row.
const rowKey = "leader"

// ErrConflict reports a row whose version was not the expected one.
var ErrConflict = errors.New("the row has changed; read it again")

// Rows is the part of the table service that an election needs.
type Rows interface {
	// Get reads one row; an absent row has Version 0 and no error.
	Get(ctx context.Context, key string) (table.Row, error)
	// Put writes a row whose version is expect and returns its new version. It
	// returns ErrConflict, wrapped, where the version differs; after any other
	// error the row may be written, even later.
	Put(ctx context.Context, key string, expect table.Version, value json.RawMessage) (table.Version, error)
}

// row is the value of the leader's row. Holder is empty after a planned stop.
type row struct {
	Holder   string `json:"holder"`
	Term     int64  `json:"term"`
	Renewals int64  `json:"renewals"`
}

// Sign is a leader's word to other nodes that it lives.
type Sign struct {
	// Version is that of the leader's row.
	Version table.Version `json:"version"`
	// Left is the time that its lease still runs without another renewal.
	Left time.Duration `json:"left"`
}

// Clock returns the time since some fixed moment. It must go on while the host
// is suspended, or a suspended leader would believe its lease.
type Clock func() time.Duration

// Candidate takes part in the election. It is safe for concurrent use.
type Candidate struct {
	rows Rows
	// holder names this process and is unique to it.
	holder string
	clock  Clock
	log    *eventlog.Logger

	mu         sync.Mutex
	version    table.Version
	row        row
	validUntil time.Duration
	// seenAt is when the present version of another's row was first known.
	seenAt time.Duration
	// expires is when another's lease with the present version ends, where a
	// sign told so.
	expires time.Duration
	// lost is true while calls of the table service fail.
	lost     bool
	released bool
}

// New returns a candidate that does nothing until Run.
func New(rows Rows, node string, clock Clock, log *eventlog.Logger) *Candidate {
	return &Candidate{rows: rows, holder: node + "/" + uuid.NewString(), clock: clock, log: log}
}

// Leads returns the term while this node leads.
func (c *Candidate) Leads() (term int64, leads bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released || c.row.Holder != c.holder || c.clock() >= c.validUntil {
		return 0, false
	}
	return c.row.Term, true
}

// Sign returns what to tell other nodes: this node's lease, or what it has
// heard of another's. It is nil where no lease runs.
func (c *Candidate) Sign() *Sign {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := c.expires - c.clock()
	if c.row.Holder == c.holder {
		left = c.validUntil - c.clock()
	}
	if c.released || left <= 0 {
		return nil
	}
	return &Sign{Version: c.version, Left: left}
}

// Heard takes in another node's sign, its own or one that it passes on. The
// time on its way only makes the lease seem longer.
func (c *Candidate) Heard(s Sign) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Version < c.version {
		return // the sign of a former leader
	}
	now := c.clock()
	if s.Version > c.version {
		c.version, c.seenAt, c.expires = s.Version, now, 0
		c.row = row{}
	}
	if c.row.Holder == c.holder {
		return // this node's own lease, passed on
	}
	c.expires = max(c.expires, now+s.Left)
}

// Run campaigns until ctx ends. mayLead is asked before this node takes the
// row.
func (c *Candidate) Run(ctx context.Context, mayLead func() bool) {
	for ctx.Err() == nil {
		pause, err := c.step(ctx, mayLead)
		if err != nil && ctx.Err() == nil {
			c.noteFailure(err)
			pause = failurePause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// step renews, or looks at the row and takes it where it is free. It returns
// the pause until the next step.
func (c *Candidate) step(ctx context.Context, mayLead func() bool) (time.Duration, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	watch := watchPeriod + rand.N(watchJitter)
	switch {
	case c.isReleased():
		return watch, nil
	case c.holds():
		if err := c.renew(bounded); err != nil {
			return 0, err
		}
		c.noteAnswer()
		return renewPeriod, nil
	case c.hasSign():
		return watch, nil
	}
	stored, err := c.read(bounded)
	if err != nil {
		return 0, err
	}
	c.noteAnswer()
	if !c.free(stored) || !mayLead() {
		return watch, nil
	}
	if err := c.write(bounded, row{Holder: c.holder, Term: stored.Term + 1}); err != nil {
		return watch, err
	}
	if term, leads := c.Leads(); leads {
		c.log.Log(eventlog.LeaderElected, eventlog.Fields{"term": term, "former": stored.Holder})
	}
	return renewPeriod, nil
}

func (c *Candidate) holds() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.row.Holder == c.holder && !c.released
}

func (c *Candidate) isReleased() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.released
}

// hasSign reports whether a lease that a sign told of still runs. Until its end
// nobody can take the row, so there is nothing to read.
func (c *Candidate) hasSign() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expires > 0 && c.clock() <= c.expires+takeoverMargin
}

// read reads the row and notes since when it has been as it is.
func (c *Candidate) read(ctx context.Context) (row, error) {
	got, err := c.rows.Get(ctx, rowKey)
	if err != nil {
		return row{}, fmt.Errorf("read the leader's row: %w", err)
	}
	var stored row
	if got.Version > 0 {
		if err := json.Unmarshal(got.Value, &stored); err != nil {
			return row{}, fmt.Errorf("decode the leader's row: %w; remove it", err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if got.Version != c.version || c.seenAt == 0 {
		c.version = got.Version
		c.seenAt = c.clock()
		c.expires = 0
	}
	c.row = stored
	return stored, nil
}

// free reports whether nobody leads: the row was released, or it is as old as
// the lease of its holder.
func (c *Candidate) free(stored row) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := c.seenAt + validity
	if c.expires > 0 {
		until = min(until, c.expires)
	}
	return stored.Holder == "" || c.clock() > until+takeoverMargin
}

func (c *Candidate) renew(ctx context.Context) error {
	c.mu.Lock()
	next := c.row
	c.mu.Unlock()
	next.Renewals++
	return c.write(ctx, next)
}

// write puts the row and counts its validity from before it was sent.
func (c *Candidate) write(ctx context.Context, next row) error {
	c.mu.Lock()
	expect := c.version
	c.mu.Unlock()
	sent := c.clock()
	version, err := c.put(ctx, next, expect)
	if errors.Is(err, ErrConflict) {
		return c.reconcile(ctx)
	}
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.row, c.seenAt, c.expires = version, next, sent, 0
	c.validUntil = sent + validity
	return nil
}

func (c *Candidate) put(ctx context.Context, next row, expect table.Version) (table.Version, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return 0, fmt.Errorf("encode the leader's row: %w", err)
	}
	version, err := c.rows.Put(ctx, rowKey, expect, value)
	if err != nil {
		return 0, fmt.Errorf("write the leader's row: %w", err)
	}
	return version, nil
}

// reconcile reads the row after a conflict: an own write whose answer was
// lost, or another leader.
func (c *Candidate) reconcile(ctx context.Context) error {
	stored, err := c.read(ctx)
	if err != nil {
		return err
	}
	if stored.Holder != c.holder {
		c.log.Log(eventlog.LeaderLost, eventlog.Fields{"to": stored.Holder, "term": stored.Term})
	}
	return nil
}

// Release gives the leadership up, for a planned stop.
func (c *Candidate) Release(ctx context.Context) error {
	if !c.holds() {
		return nil
	}
	c.mu.Lock()
	c.released = true
	next, expect := row{Term: c.row.Term}, c.version
	c.mu.Unlock()
	if _, err := c.put(ctx, next, expect); err != nil {
		return fmt.Errorf("release the leadership: %w; it lapses by itself", err)
	}
	return nil
}

func (c *Candidate) noteFailure(err error) {
	c.mu.Lock()
	first := !c.lost
	c.lost = true
	led := c.row.Holder == c.holder
	c.mu.Unlock()
	if first {
		c.log.Log(eventlog.LeaderUnknown, eventlog.Fields{"error": err.Error(), "led": led})
	}
}

func (c *Candidate) noteAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = false
}
