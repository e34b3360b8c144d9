package configlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
)

// sweepBatchSize is the maximum number of log entries that one sweep deletes.
const sweepBatchSize = 100

// Sweeper compacts the configuration log: it deletes all entries but those of the
// newest keepRevisions revisions. Followers that are further behind load the
// objects instead.
type Sweeper struct {
	store         table.Store
	keepRevisions int64
	interval      time.Duration
	log           *eventlog.Logger
}

// NewSweeper returns a sweeper that keeps the given number of revisions and
// sweeps once per interval on average.
func NewSweeper(store table.Store, keepRevisions int64, interval time.Duration, log *eventlog.Logger) *Sweeper {
	return &Sweeper{store: store, keepRevisions: keepRevisions, interval: interval, log: log}
}

// Run sweeps once per jittered interval until ctx ends. Several nodes may sweep at
// the same time: one deletes the entries, the others find none or get a conflict.
func (s *Sweeper) Run(ctx context.Context) {
	for sleep(ctx, jitter(s.interval)) == nil {
		deleted, err := s.Sweep(ctx)
		if err == nil && deleted > 0 {
			s.log.Log(eventlog.ConfigCompacted, eventlog.Fields{"deleted": deleted})
		}
	}
}

// Sweep deletes at most one batch of old log entries and returns the number of
// deleted entries.
func (s *Sweeper) Sweep(ctx context.Context) (int, error) {
	head, err := readHead(ctx, s.store)
	if err != nil {
		return 0, err
	}
	if head <= s.keepRevisions {
		return 0, nil
	}
	old := table.Range{Prefix: table.PrefixLog, To: table.LogKey(head - s.keepRevisions + 1), Limit: sweepBatchSize}
	rows, err := s.store.List(ctx, old)
	if err != nil {
		return 0, fmt.Errorf("list old log entries: %w", err)
	}
	rows = rows[:min(len(rows), sweepBatchSize)]
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
