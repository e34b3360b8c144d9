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

// maxBatchBytes bounds the values of one transaction.
const maxBatchBytes = 1 << 20

// opState tells whether a queued write may still be withdrawn.
type opState int32

const (
	opQueued opState = iota
	opSent
	opWithdrawn
)

// op is one row write that waits for its batch.
type op struct {
	write  table.Write
	state  atomic.Int32
	result chan error // capacity 1
}

// move changes the state once.
func (o *op) move(from, to opState) bool {
	return o.state.CompareAndSwap(int32(from), int32(to))
}

// write sends one row write with the next batch. Errors are those of
// table.Store; ErrUnavailable where ctx ended before the batch was sent.
func (s *Store) write(ctx context.Context, w table.Write) error {
	o := &op{write: w, result: make(chan error, 1)}
	select {
	case s.ops <- o:
	default:
		return errBusy
	}
	select {
	case err := <-o.result:
		return err
	case <-ctx.Done():
	}
	if o.move(opQueued, opWithdrawn) {
		return errors.Join(table.ErrUnavailable, ctx.Err())
	}
	return errors.Join(table.ErrUnknown, ctx.Err())
}

// Run writes batches, removes discarded claims and sweeps old ones until ctx
// ends.
func (s *Store) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.cleanupLoop(ctx) })
	group.Go(func() { s.sweepLoop(ctx) })
	s.batchLoop(ctx)
	group.Wait()
}

func (s *Store) batchLoop(ctx context.Context) {
	var held []*op
	for {
		batch, rest, ok := s.collect(ctx, held)
		if !ok {
			return
		}
		held = rest
		s.commit(ctx, batch)
	}
}

// collect waits for the first write and gathers others for BatchWait. Writes
// of a row that the batch already writes are held for the next one.
func (s *Store) collect(ctx context.Context, held []*op) (batch, rest []*op, ok bool) {
	b := &batcher{limit: s.options.BatchMax}
	for _, o := range held {
		b.add(o)
	}
	if len(b.ops) == 0 {
		select {
		case <-ctx.Done():
			return nil, nil, false
		case o := <-s.ops:
			b.add(o)
		}
	}
	timer := time.NewTimer(s.options.BatchWait)
	defer timer.Stop()
	for !b.full() {
		select {
		case <-ctx.Done():
			return nil, nil, false
		case <-timer.C:
			return b.ops, b.rest, true
		case o := <-s.ops:
			b.add(o)
		}
	}
	return b.ops, b.rest, true
}

// batcher gathers the writes of one transaction.
type batcher struct {
	limit int
	bytes int
	ops   []*op
	rest  []*op
}

func (b *batcher) full() bool {
	return len(b.ops) >= b.limit || b.bytes >= maxBatchBytes || len(b.rest) >= b.limit
}

func (b *batcher) add(o *op) {
	same := func(other *op) bool { return other.write.Key == o.write.Key }
	if b.full() || slices.ContainsFunc(b.ops, same) {
		b.rest = append(b.rest, o)
		return
	}
	b.ops = append(b.ops, o)
	b.bytes += len(o.write.Value)
}

// commit sends one batch. A write whose row has changed is answered and left
// out; the others are sent again without it.
func (s *Store) commit(ctx context.Context, batch []*op) {
	batch = slices.DeleteFunc(batch, func(o *op) bool { return !o.move(opQueued, opSent) })
	for len(batch) > 0 {
		err := s.commitOnce(ctx, batch)
		var conflict *table.ConflictError
		if !errors.As(err, &conflict) || len(conflict.Keys) == 0 {
			answerAll(batch, err)
			return
		}
		batch = slices.DeleteFunc(batch, func(o *op) bool {
			stale := slices.Contains(conflict.Keys, o.write.Key)
			if stale {
				o.result <- &table.ConflictError{Keys: []string{o.write.Key}}
			}
			return stale
		})
	}
}

func (s *Store) commitOnce(ctx context.Context, batch []*op) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	txn := table.Txn{Nonce: rand.Text()}
	for _, o := range batch {
		txn.Writes = append(txn.Writes, o.write)
	}
	return s.table.Commit(ctx, txn)
}

func answerAll(batch []*op, err error) {
	for _, o := range batch {
		o.result <- err
	}
}
