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
	// storeReadTimeout limits one load or synchronization from the store, which
	// takes several calls of a store that may be slow.
	storeReadTimeout = 15 * time.Second
	// peerReadTimeout limits one read of the log or the snapshot of the peers.
	peerReadTimeout = 5 * time.Second
	// wakeDelayDivisor divides the poll interval to give the mean delay of a
	// read after a higher revision became known. The delay is jittered to spread
	// the reads of followers that learn of a revision at the same time.
	wakeDelayDivisor = 4
	// maxOfferedRecords limits the offered records that wait for their
	// predecessors; further ones are read from the store or a peer.
	maxOfferedRecords = 64
)

var (
	// errMissingRecords reports that log records do not directly follow the
	// revision in force.
	errMissingRecords = errors.New("log records are missing")
	// errNoSnapshot reports that no peer has a snapshot above revision 0.
	errNoSnapshot = errors.New("no peer has a snapshot")
)

// PeerSource reads the configuration from other nodes. Both calls block until
// an answer arrives or ctx ends.
type PeerSource interface {
	// Log returns the records after the given revision, oldest first, from a
	// peer that has them. After an error the snapshot must be read instead.
	Log(ctx context.Context, after int64) ([]object.Record, error)
	// Snapshot returns the highest snapshot among the peers that answer, or
	// an error when no ready peer does.
	Snapshot(ctx context.Context) (*snapshot.Snapshot, error)
}

// Follower implements View. It puts accepted revisions in force in order and
// never returns to a lower one. Run blocks and does the reading; the other
// methods do no I/O and are safe for concurrent use.
type Follower struct {
	store        table.Store
	peers        PeerSource
	pollInterval time.Duration
	log          *eventlog.Logger

	current atomic.Pointer[snapshot.Snapshot]
	ready   atomic.Bool
	history history

	// highestKnownRevision is the highest revision that ObserveRevision was called
	// with.
	highestKnownRevision atomic.Int64
	// wakeStore and wakePeers wake followStore and followPeers. Each holds at
	// most one token, which stands for any number of revisions; further tokens
	// are dropped.
	wakeStore chan struct{}
	wakePeers chan struct{}
	// storeFailing is true after a failed read of the store.
	storeFailing atomic.Bool

	// mu serializes changes of the revision in force and guards the fields
	// below.
	mu      sync.Mutex
	changed chan struct{}
	// offered contains, by revision, the records that were accepted through this
	// node before their predecessors were applied here.
	offered map[int64]object.Record
}

// NewFollower returns a follower that reads the head of the configuration log
// once per pollInterval on average.
func NewFollower(store table.Store, peers PeerSource, pollInterval time.Duration, log *eventlog.Logger) *Follower {
	f := &Follower{
		store:        store,
		peers:        peers,
		pollInterval: pollInterval,
		log:          log,
		wakeStore:    make(chan struct{}, 1),
		wakePeers:    make(chan struct{}, 1),
		changed:      make(chan struct{}),
		offered:      make(map[int64]object.Record),
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

// Records returns the applied records after the given revision, oldest first. It
// returns false where some of them are no longer kept, so that the caller must
// read the objects instead.
func (f *Follower) Records(after int64) ([]object.Record, bool) { return f.history.after(after) }

// Run loads the configuration and follows it until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil && !f.Ready() {
		f.loadInitial(ctx)
		if !f.Ready() {
			_ = sleep(ctx, jitter(f.pollInterval))
		}
	}
	var loops sync.WaitGroup
	loops.Go(func() { f.followStore(ctx) })
	loops.Go(func() { f.followPeers(ctx) })
	loops.Wait()
}

// loadInitial loads the configuration from the store and from the peers and puts
// the one with the higher revision in force. Both are read at the same time, so
// that a hanging store delays the start by no more than its own timeout.
func (f *Follower) loadInitial(ctx context.Context) {
	var peerErr error
	var peers sync.WaitGroup
	peers.Go(func() { peerErr = f.loadFromPeers(ctx) })
	storeErr := f.loadFromStore(ctx)
	peers.Wait()
	f.recordStoreResult(storeErr)
	if storeErr == nil || peerErr == nil {
		f.ready.Store(true)
	}
}

func (f *Follower) loadFromStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	loaded, err := loadSnapshot(ctx, f.store)
	if err != nil {
		return err
	}
	f.adoptSnapshot(loaded)
	return nil
}

// loadFromPeers adopts the peers' snapshot. It rejects revision 0, which is also
// the revision of a peer that has not loaded the configuration yet.
func (f *Follower) loadFromPeers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, peerReadTimeout)
	defer cancel()
	loaded, err := f.peers.Snapshot(ctx)
	if err != nil {
		return fmt.Errorf("read a peer's snapshot: %w", err)
	}
	if loaded == nil || loaded.Revision == 0 {
		return errNoSnapshot
	}
	f.adoptSnapshot(loaded)
	return nil
}

// followStore synchronizes from the store once per poll interval, and soon after
// a higher revision became known.
func (f *Follower) followStore(ctx context.Context) {
	for f.waitForStoreRead(ctx) {
		readCtx, cancel := context.WithTimeout(ctx, storeReadTimeout)
		err := f.syncFromStore(readCtx)
		cancel()
		if ctx.Err() == nil {
			f.recordStoreResult(err)
		}
	}
}

// waitForStoreRead waits until the store is to be read. It returns false when ctx
// ends.
func (f *Follower) waitForStoreRead(ctx context.Context) bool {
	timer := time.NewTimer(jitter(f.pollInterval))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-f.wakeStore:
		return sleep(ctx, jitter(f.pollInterval/wakeDelayDivisor)) == nil
	case <-ctx.Done():
		return false
	}
}

// syncFromStore applies the log records up to the head of the store, or loads the
// whole configuration where records are missing.
func (f *Follower) syncFromStore(ctx context.Context) error {
	head, err := readHead(ctx, f.store)
	if err != nil {
		return err
	}
	current := f.Current().Revision
	if head == current {
		return nil
	}
	if head < current {
		return f.checkLowerHead(ctx, head)
	}
	if head == current {
		return nil
	}
	records, err := readRecords(ctx, f.store, current, head)
	if err != nil {
		return err
	}
	if contiguous(records, current, head) {
		f.apply(records)
		return nil
	}
	loaded, err := loadSnapshot(ctx, f.store)
	if err != nil {
		return err
	}
	f.adoptSnapshot(loaded)
	return nil
}

// followPeers synchronizes from the peers where a known revision has not been
// read from the store after a delay. The delay is a poll interval, or a fraction
// of it while reads of the store fail.
func (f *Follower) followPeers(ctx context.Context) {
	for {
		select {
		case <-f.wakePeers:
		case <-ctx.Done():
			return
		}
		delay := f.pollInterval
		if f.storeFailing.Load() {
			delay = f.pollInterval / wakeDelayDivisor
		}
		if sleep(ctx, jitter(delay)) != nil {
			return
		}
		if f.isBehind() {
			f.syncFromPeers(ctx)
		}
	}
}

// isBehind reports whether a revision above the one in force is known.
func (f *Follower) isBehind() bool { return f.highestKnownRevision.Load() > f.Current().Revision }

// syncFromPeers applies a peer's log, or adopts the peers' snapshot where the log
// cannot be read or does not reach back far enough. After a failure the revision
// stays as it is, and the next digest of a peer starts another attempt.
func (f *Follower) syncFromPeers(ctx context.Context) {
	if f.syncFromPeerLog(ctx) != nil {
		_ = f.loadFromPeers(ctx)
	}
}

func (f *Follower) syncFromPeerLog(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, peerReadTimeout)
	defer cancel()
	current := f.Current().Revision
	records, err := f.peers.Log(ctx, current)
	if err != nil {
		return fmt.Errorf("read a peer's log: %w", err)
	}
	if len(records) == 0 || !contiguous(records, current, current+int64(len(records))) {
		return errMissingRecords
	}
	f.apply(records)
	return nil
}

// checkLowerHead logs that the head of the store is below the revision in force.
// It reads the head again first, because the revision in force may have been
// accepted after the first read.
func (f *Follower) checkLowerHead(ctx context.Context, seen int64) error {
	current := f.Current().Revision
	head, err := readHead(ctx, f.store)
	if err != nil {
		return err
	}
	if head == seen && head < current {
		f.log.Log(eventlog.ConfigHeadLower, eventlog.Fields{"head": head, "revision": current})
	}
	return nil
}

// recordStoreResult records whether a read of the store failed. It logs the first
// failure and the first success after a failure.
func (f *Follower) recordStoreResult(err error) {
	failing := err != nil
	if f.storeFailing.Swap(failing) == failing {
		return
	}
	if failing {
		f.log.Log(eventlog.ConfigHeadUnreadable, eventlog.Fields{"error": err.Error(), "revision": f.Current().Revision})
		return
	}
	f.log.Log(eventlog.ConfigHeadReadable, eventlog.Fields{"revision": f.Current().Revision})
}
