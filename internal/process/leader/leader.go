// Package leader elects one node for the formation of groups through a row of
// the table service. The term of a leader fences its orders: epochs of a later
// term are higher.
//
// The package is smaller than package lease on purpose: only the leader and a
// few candidates call the table service, so that the calls do not grow with
// the nodes.
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
	// renewPeriod and validity: a leader that cannot renew stops within three
	// missed renewals.
	renewPeriod = 1200 * time.Millisecond
	validity    = 4 * time.Second
	// takeoverMargin covers clocks that run at different rates.
	takeoverMargin = 500 * time.Millisecond
	// watchPeriod is how often a candidate reads the row; jitter keeps
	// candidates apart.
	watchPeriod = 1200 * time.Millisecond
	watchJitter = 400 * time.Millisecond
	// failurePause follows a failed call.
	failurePause = 300 * time.Millisecond
	// callTimeout bounds one call.
	callTimeout = 800 * time.Millisecond
)

// rowKey is the key of the leader's row.
const rowKey = "leader"

// row is the value of the leader's row. Holder is empty after a planned stop.
type row struct {
	Holder   string `json:"holder"`
	Term     int64  `json:"term"`
	Renewals int64  `json:"renewals"`
}

// Clock returns the time since some fixed moment. It must go on while the host
// is suspended, or a suspended leader would believe its lease.
type Clock func() time.Duration

// Candidate takes part in the election. It is safe for concurrent use.
type Candidate struct {
	store table.Store
	// holder names this process and is unique to it.
	holder string
	clock  Clock
	log    *eventlog.Logger

	mu         sync.Mutex
	version    table.Version
	row        row
	validUntil time.Duration
	// seenAt is when the present version of another's row was first read.
	seenAt time.Duration
	// lost is true while calls of the table service fail.
	lost     bool
	released bool
}

// New returns a candidate that does nothing until Run.
func New(store table.Store, node string, clock Clock, log *eventlog.Logger) *Candidate {
	return &Candidate{store: store, holder: node + "/" + uuid.NewString(), clock: clock, log: log}
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
	if c.holds() {
		if err := c.renew(bounded); err != nil {
			return 0, err
		}
		c.noteAnswer()
		return renewPeriod, nil
	}
	stored, err := c.read(bounded)
	if err != nil {
		return 0, err
	}
	c.noteAnswer()
	watch := watchPeriod + rand.N(watchJitter)
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

// read reads the row and notes since when it has been as it is.
func (c *Candidate) read(ctx context.Context) (row, error) {
	got, err := c.store.Get(ctx, rowKey)
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
	}
	c.row = stored
	return stored, nil
}

// free reports whether nobody leads: the row was released, or its holder has
// not renewed it for longer than it may believe to lead.
func (c *Candidate) free(stored row) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return stored.Holder == "" || c.clock()-c.seenAt > validity+takeoverMargin
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
	err := c.commit(ctx, next, expect)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		return c.reconcile(ctx)
	}
	if err != nil {
		return err
	}
	got, err := c.store.Get(ctx, rowKey)
	if err != nil {
		return fmt.Errorf("read the leader's row back: %w", err)
	}
	var stored row
	if err := json.Unmarshal(got.Value, &stored); err != nil {
		return fmt.Errorf("decode the leader's row: %w", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.row, c.seenAt = got.Version, stored, c.clock()
	if stored.Holder == c.holder {
		c.validUntil = sent + validity
	}
	return nil
}

func (c *Candidate) commit(ctx context.Context, next row, expect table.Version) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode the leader's row: %w", err)
	}
	err = c.store.Commit(ctx, table.Txn{Nonce: uuid.NewString(), Writes: []table.Write{{Key: rowKey, Expect: expect, Value: value}}})
	if err != nil {
		return fmt.Errorf("write the leader's row: %w", err)
	}
	return nil
}

// reconcile reads the row after a conflict: an own write that was thought
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
	if err := c.commit(ctx, next, expect); err != nil {
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
