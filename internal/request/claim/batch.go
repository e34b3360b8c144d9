package claim

import (
	"context"
	"crypto/rand"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
)

// maxBatchBytes limits the total size of the values of one transaction. The last
// write may exceed it.
const maxBatchBytes = 1 << 20

// writeState is the state of a pending write. Only a queued write can be
// withdrawn.
type writeState int32

const (
	writeQueued writeState = iota
	writeSent
	writeWithdrawn
)

// pendingWrite is one row write and the channel for its result.
type pendingWrite struct {
	write  table.Write
	state  atomic.Int32
	result chan error // capacity 1
}

// transition changes the state atomically. It returns false if the state is not
// from.
func (p *pendingWrite) transition(from, to writeState) bool {
	return p.state.CompareAndSwap(int32(from), int32(to))
}

// write adds one row write to the next batch and blocks until it is committed
// or ctx ends. Errors are those of table.Store: ErrUnavailable if the queue is
// full or ctx ended before the batch was sent, ErrUnknown if ctx ended later.
func (s *Store) write(ctx context.Context, w table.Write) error {
	p := &pendingWrite{write: w, result: make(chan error, 1)}
	select {
	case s.pending <- p:
	default:
		return errQueueFull
	}
	select {
	case err := <-p.result:
		return err
	case <-ctx.Done():
	}
	if p.transition(writeQueued, writeWithdrawn) {
		return errors.Join(table.ErrUnavailable, ctx.Err())
	}
	return errors.Join(table.ErrUnknown, ctx.Err())
}

// Run commits batches of writes, removes discarded claims and deletes old ones.
// It blocks until ctx ends.
func (s *Store) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.cleanupLoop(ctx) })
	group.Go(func() { s.sweepLoop(ctx) })
	s.batchLoop(ctx)
	group.Wait()
}

// batchLoop collects and commits one batch after another.
func (s *Store) batchLoop(ctx context.Context) {
	var deferred []*pendingWrite
	for {
		batch, next, ok := s.collect(ctx, deferred)
		if !ok {
			return
		}
		deferred = next
		s.commit(ctx, batch)
	}
}

// collect waits for the first write and collects others for BatchDelay. It
// starts with the deferred writes of the last batch and returns in next those
// deferred to the next batch. It returns ok false once ctx has ended.
func (s *Store) collect(ctx context.Context, deferred []*pendingWrite) (batch, next []*pendingWrite, ok bool) {
	b := &batchBuilder{maxWrites: s.options.MaxBatchWrites}
	for _, p := range deferred {
		b.add(p)
	}
	if len(b.writes) == 0 {
		select {
		case <-ctx.Done():
			return nil, nil, false
		case p := <-s.pending:
			b.add(p)
		}
	}
	timer := time.NewTimer(s.options.BatchDelay)
	defer timer.Stop()
	for !b.full() {
		select {
		case <-ctx.Done():
			return nil, nil, false
		case <-timer.C:
			return b.writes, b.deferred, true
		case p := <-s.pending:
			b.add(p)
		}
	}
	return b.writes, b.deferred, true
}

// batchBuilder collects the writes of one transaction.
type batchBuilder struct {
	maxWrites int
	bytes     int
	writes    []*pendingWrite
	deferred  []*pendingWrite
}

func (b *batchBuilder) full() bool {
	return len(b.writes) >= b.maxWrites || b.bytes >= maxBatchBytes || len(b.deferred) >= b.maxWrites
}

// add adds a write to the batch. It defers the write if the batch is full or
// already writes the same row.
func (b *batchBuilder) add(p *pendingWrite) {
	sameRow := func(other *pendingWrite) bool { return other.write.Key == p.write.Key }
	if b.full() || slices.ContainsFunc(b.writes, sameRow) {
		b.deferred = append(b.deferred, p)
		return
	}
	b.writes = append(b.writes, p)
	b.bytes += len(p.write.Value)
}

// commit sends one batch as a transaction. Writes whose row has changed get a
// *table.ConflictError; the others are sent again without them.
func (s *Store) commit(ctx context.Context, batch []*pendingWrite) {
	batch = slices.DeleteFunc(batch, func(p *pendingWrite) bool { return !p.transition(writeQueued, writeSent) })
	for len(batch) > 0 {
		err := s.commitOnce(ctx, batch)
		var conflict *table.ConflictError
		if !errors.As(err, &conflict) || len(conflict.Keys) == 0 {
			reportResult(batch, err)
			return
		}
		batch = slices.DeleteFunc(batch, func(p *pendingWrite) bool {
			conflicting := slices.Contains(conflict.Keys, p.write.Key)
			if conflicting {
				p.result <- &table.ConflictError{Keys: []string{p.write.Key}}
			}
			return conflicting
		})
	}
}

func (s *Store) commitOnce(ctx context.Context, batch []*pendingWrite) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	txn := table.Txn{Nonce: rand.Text()}
	for _, p := range batch {
		txn.Writes = append(txn.Writes, p.write)
	}
	return s.table.Commit(ctx, txn)
}

// reportResult reports the result of a transaction to every write in it.
func reportResult(batch []*pendingWrite, err error) {
	for _, p := range batch {
		p.result <- err
	}
}
