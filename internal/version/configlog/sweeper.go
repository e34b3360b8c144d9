package configlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
)

// sweepBatch is the largest number of log entries that one sweep deletes.
const sweepBatch = 100

// Sweeper deletes log entries that are older than the newest keep revisions.
// Followers that are further behind load the objects instead.
type Sweeper struct {
	store  table.Store
	keep   int64
	period time.Duration
	log    *eventlog.Logger
}

// NewSweeper returns a sweeper that keeps the given number of revisions.
func NewSweeper(store table.Store, keep int64, period time.Duration, log *eventlog.Logger) *Sweeper {
	return &Sweeper{store: store, keep: keep, period: period, log: log}
}

// Run sweeps once a period, jittered, until ctx ends. Sweeps of several nodes
// at once do no harm: one deletes, the others find nothing or a conflict.
func (s *Sweeper) Run(ctx context.Context) {
	for sleep(ctx, jitter(s.period)) == nil {
		deleted, err := s.Sweep(ctx)
		if err == nil && deleted > 0 {
			s.log.Log(eventlog.ConfigCompacted, eventlog.Fields{"deleted": deleted})
		}
	}
}

// Sweep deletes at most one batch of old log entries and returns their number.
func (s *Sweeper) Sweep(ctx context.Context) (int, error) {
	head, err := readHead(ctx, s.store)
	if err != nil {
		return 0, err
	}
	if head <= s.keep {
		return 0, nil
	}
	old := table.Range{Prefix: table.PrefixLog, To: table.LogKey(head - s.keep + 1), Limit: sweepBatch}
	rows, err := s.store.List(ctx, old)
	if err != nil {
		return 0, fmt.Errorf("list old log entries: %w", err)
	}
	rows = rows[:min(len(rows), sweepBatch)]
	if len(rows) == 0 {
		return 0, nil
	}
	txn := table.Txn{Nonce: newNonce()}
	for _, row := range rows {
		txn.Writes = append(txn.Writes, table.Write{Key: row.Key, Expect: row.Version, Delete: true})
	}
	err = s.store.Commit(ctx, txn)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("delete old log entries: %w", err)
	}
	return len(rows), nil
}
