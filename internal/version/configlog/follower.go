package configlog

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/snapshot"
)

const (
	// readTimeout bounds one round of reading the store or the peers, so that
	// a slow one does not keep the follower from the other.
	readTimeout = 2 * time.Second
	// learnShare is the part of the poll period over which the reads of all
	// followers that learn of a head at the same time are spread.
	learnShare = 4
)

// errGap reports log records that do not follow the revision in force.
var errGap = errors.New("log records are missing")

// PeerSource reads the configuration from other nodes. Both calls block until
// an answer or ctx ends.
type PeerSource interface {
	// Log returns the records after the revision, oldest first, from a peer
	// that has them. An error means that the snapshot must be read instead.
	Log(ctx context.Context, after int64) ([]object.Record, error)
	// Snapshot returns the highest snapshot among the peers that answer, or
	// an error when no ready peer does.
	Snapshot(ctx context.Context) (*snapshot.Snapshot, error)
}

// Follower implements View: it applies accepted revisions in order and never
// goes back to a lower one. Run drives it; the other methods are safe for
// concurrent use and do not block.
type Follower struct {
	store table.Store
	peers PeerSource
	poll  time.Duration
	log   *eventlog.Logger

	current atomic.Pointer[snapshot.Snapshot]
	ready   atomic.Bool
	history history

	// learned is the highest revision that a peer told of.
	learned atomic.Int64
	// wake holds one token while a learned revision waits to be read. It has
	// room for one; more tokens would add nothing and are dropped.
	wake chan struct{}

	mu      sync.Mutex
	changed chan struct{}

	// storeFailing is true after a failed read of the store. Only Run uses it.
	storeFailing bool
}

// NewFollower returns a follower that reads the head every poll on average.
func NewFollower(store table.Store, peers PeerSource, poll time.Duration, log *eventlog.Logger) *Follower {
	f := &Follower{
		store:   store,
		peers:   peers,
		poll:    poll,
		log:     log,
		wake:    make(chan struct{}, 1),
		changed: make(chan struct{}),
	}
	f.current.Store(snapshot.Empty())
	return f
}

// Current implements View.
func (f *Follower) Current() *snapshot.Snapshot { return f.current.Load() }

// Changed implements View.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Ready reports whether the configuration was loaded from the store or a peer.
func (f *Follower) Ready() bool { return f.ready.Load() }

// Records returns the applied records after the revision, oldest first, and
// false where some of them are no longer kept: read the objects instead.
func (f *Follower) Records(after int64) ([]object.Record, bool) { return f.history.after(after) }

// Learn tells the follower of a head at a peer. A higher one is read soon.
func (f *Follower) Learn(revision int64) {
	for {
		known := f.learned.Load()
		if revision <= known {
			break
		}
		if f.learned.CompareAndSwap(known, revision) {
			break
		}
	}
	if revision <= f.Current().Revision {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Run loads the configuration and follows it until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil && !f.Ready() {
		f.start(ctx)
		if !f.Ready() {
			_ = sleep(ctx, jitter(f.poll))
		}
	}
	for f.wait(ctx) {
		f.refresh(ctx)
	}
}

// wait blocks until the next read is due and reports false when ctx ends.
func (f *Follower) wait(ctx context.Context) bool {
	timer := time.NewTimer(jitter(f.poll))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-f.wake:
		return sleep(ctx, jitter(f.poll/learnShare)) == nil
	case <-ctx.Done():
		return false
	}
}

// start takes the higher one of the store's and the peers' configuration.
func (f *Follower) start(ctx context.Context) {
	stored, storeErr := f.loadStore(ctx)
	if storeErr == nil {
		f.adopt(stored)
	}
	peered, peerErr := f.loadPeers(ctx)
	if peerErr == nil {
		f.adopt(peered)
	}
	f.noteStore(storeErr)
	if storeErr == nil || peerErr == nil {
		f.ready.Store(true)
	}
}

func (f *Follower) loadStore(ctx context.Context) (*snapshot.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return loadSnapshot(ctx, f.store)
}

func (f *Follower) loadPeers(ctx context.Context) (*snapshot.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	loaded, err := f.peers.Snapshot(ctx)
	if err == nil && loaded == nil {
		return nil, errors.New("no peer has a snapshot")
	}
	return loaded, err
}

// refresh reads what is newer than the revision in force: from the store, or
// from the peers while the store fails and a peer told of a newer head.
func (f *Follower) refresh(ctx context.Context) {
	if f.storeFailing && f.behindPeers() {
		f.refreshFromPeers(ctx)
	}
	err := f.refreshFromStore(ctx)
	f.noteStore(err)
	if err != nil && f.behindPeers() {
		f.refreshFromPeers(ctx)
	}
}

func (f *Follower) behindPeers() bool { return f.learned.Load() > f.Current().Revision }

func (f *Follower) refreshFromStore(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	head, err := readHead(readCtx, f.store)
	if err != nil {
		return err
	}
	current := f.Current().Revision
	if head < current {
		f.log.Log(eventlog.ConfigHeadLower, eventlog.Fields{"head": head, "revision": current})
		return nil
	}
	records, err := readRecords(readCtx, f.store, current, head)
	if err != nil {
		return err
	}
	if contiguous(records, current, head) {
		f.apply(records)
		return nil
	}
	loaded, err := f.loadStore(ctx)
	if err != nil {
		return err
	}
	f.adopt(loaded)
	return nil
}

// refreshFromPeers applies a peer's log, or adopts the peers' snapshot where
// the log does not reach back far enough. Failures leave the revision as it
// is: the next round tries again.
func (f *Follower) refreshFromPeers(ctx context.Context) {
	if f.applyPeerLog(ctx) == nil {
		return
	}
	loaded, err := f.loadPeers(ctx)
	if err == nil {
		f.adopt(loaded)
	}
}

func (f *Follower) applyPeerLog(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	current := f.Current().Revision
	records, err := f.peers.Log(ctx, current)
	if err != nil {
		return fmt.Errorf("read a peer's log: %w", err)
	}
	if len(records) == 0 || !contiguous(records, current, current+int64(len(records))) {
		return errGap
	}
	f.apply(records)
	return nil
}

// apply puts contiguous records in force, one after the other.
func (f *Follower) apply(records []object.Record) {
	for _, record := range records {
		next := f.Current().Apply(record)
		if next == f.Current() {
			continue
		}
		f.history.add(record)
		f.put(next)
		f.log.Log(eventlog.ConfigApplied, eventlog.Fields{"revision": record.Revision, "author": record.Author})
	}
}

// adopt puts a whole snapshot in force, provided that it is higher.
func (f *Follower) adopt(next *snapshot.Snapshot) {
	if next.Revision <= f.Current().Revision {
		return
	}
	f.history.reset(next.Revision)
	f.put(next)
	f.log.Log(eventlog.ConfigLoaded, eventlog.Fields{"revision": next.Revision})
}

// put publishes the snapshot and wakes those who wait for a change. Only Run
// calls it, so revisions are compared and stored without a race.
func (f *Follower) put(next *snapshot.Snapshot) {
	f.current.Store(next)
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// noteStore logs when reading the store begins and ceases to fail.
func (f *Follower) noteStore(err error) {
	failing := err != nil
	if failing == f.storeFailing {
		return
	}
	f.storeFailing = failing
	if failing {
		f.log.Log(eventlog.ConfigLagging, eventlog.Fields{"error": err.Error(), "revision": f.Current().Revision})
		return
	}
	f.log.Log(eventlog.ConfigCaughtUp, eventlog.Fields{"revision": f.Current().Revision})
}
