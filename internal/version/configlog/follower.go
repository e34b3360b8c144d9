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
	// storeTimeout bounds one round of reading the store, which takes several
	// calls of a store that may be slow.
	storeTimeout = 15 * time.Second
	// peerTimeout bounds one round of reading peers.
	peerTimeout = 5 * time.Second
	// learnShare is the part of the poll period over which the reads of all
	// followers that learn of a head at the same time are spread.
	learnShare = 4
	// offeredCapacity bounds the records that wait for their predecessors;
	// further ones are read from the store or a peer.
	offeredCapacity = 64
)

var (
	// errGap reports log records that do not follow the revision in force.
	errGap = errors.New("log records are missing")
	// errNoSnapshot reports that no peer has loaded the configuration.
	errNoSnapshot = errors.New("no peer has a snapshot")
)

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
	// wakeStore and wakePeers hold one token while a learned revision waits
	// to be read by the duty of that name. Further tokens would add nothing
	// and are dropped.
	wakeStore chan struct{}
	wakePeers chan struct{}
	// storeFailing is true after a failed read of the store.
	storeFailing atomic.Bool

	// mu serializes the steps from one revision to the next.
	mu      sync.Mutex
	changed chan struct{}
	// offered holds records that were accepted through this node before their
	// predecessors were applied here, by revision.
	offered map[int64]object.Record
}

// NewFollower returns a follower that reads the head every poll on average.
func NewFollower(store table.Store, peers PeerSource, poll time.Duration, log *eventlog.Logger) *Follower {
	f := &Follower{
		store:     store,
		peers:     peers,
		poll:      poll,
		log:       log,
		wakeStore: make(chan struct{}, 1),
		wakePeers: make(chan struct{}, 1),
		changed:   make(chan struct{}),
		offered:   make(map[int64]object.Record),
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

// Run loads the configuration and follows it until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil && !f.Ready() {
		f.start(ctx)
		if !f.Ready() {
			_ = sleep(ctx, jitter(f.poll))
		}
	}
	var duties sync.WaitGroup
	duties.Go(func() { f.followStore(ctx) })
	duties.Go(func() { f.followPeers(ctx) })
	duties.Wait()
}

// start takes the higher one of the store's and the peers' configuration.
// Peers are read at the same time, so that a hanging store costs one timeout.
func (f *Follower) start(ctx context.Context) {
	var peerErr error
	var peers sync.WaitGroup
	peers.Go(func() { peerErr = f.loadPeers(ctx) })
	storeErr := f.loadStore(ctx)
	peers.Wait()
	f.noteStore(storeErr)
	if storeErr == nil || peerErr == nil {
		f.ready.Store(true)
	}
}

func (f *Follower) loadStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	loaded, err := loadSnapshot(ctx, f.store)
	if err != nil {
		return err
	}
	f.adopt(loaded)
	return nil
}

// loadPeers adopts the peers' snapshot. Revision 0 is no evidence: a peer that
// has not loaded the configuration itself has it too.
func (f *Follower) loadPeers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	loaded, err := f.peers.Snapshot(ctx)
	if err != nil {
		return fmt.Errorf("read a peer's snapshot: %w", err)
	}
	if loaded == nil || loaded.Revision == 0 {
		return errNoSnapshot
	}
	f.adopt(loaded)
	return nil
}

// followStore reads the head every poll, and soon after a peer told of a
// higher one.
func (f *Follower) followStore(ctx context.Context) {
	for f.waitStore(ctx) {
		readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := f.readStore(readCtx)
		cancel()
		if ctx.Err() == nil {
			f.noteStore(err)
		}
	}
}

func (f *Follower) waitStore(ctx context.Context) bool {
	timer := time.NewTimer(jitter(f.poll))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-f.wakeStore:
		return sleep(ctx, jitter(f.poll/learnShare)) == nil
	case <-ctx.Done():
		return false
	}
}

func (f *Follower) readStore(ctx context.Context) error {
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
	f.adopt(loaded)
	return nil
}

// followPeers reads the peers when the store does not bring a revision that a
// peer told of: at once while the store fails, else after a poll period.
func (f *Follower) followPeers(ctx context.Context) {
	for {
		select {
		case <-f.wakePeers:
		case <-ctx.Done():
			return
		}
		delay := f.poll
		if f.storeFailing.Load() {
			delay = f.poll / learnShare
		}
		if sleep(ctx, jitter(delay)) != nil {
			return
		}
		if f.behindPeers() {
			f.readPeers(ctx)
		}
	}
}

func (f *Follower) behindPeers() bool { return f.learned.Load() > f.Current().Revision }

// readPeers applies a peer's log, or adopts the peers' snapshot where the log
// does not reach back far enough. A failure leaves the revision as it is: the
// next digest of a peer starts another try.
func (f *Follower) readPeers(ctx context.Context) {
	if f.readPeerLog(ctx) != nil {
		_ = f.loadPeers(ctx)
	}
}

func (f *Follower) readPeerLog(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
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

// checkLowerHead logs a head below the revision in force, unless the revision
// was accepted between the read of the head and now.
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

// noteStore logs when reading the store begins and ceases to fail.
func (f *Follower) noteStore(err error) {
	failing := err != nil
	if f.storeFailing.Swap(failing) == failing {
		return
	}
	if failing {
		f.log.Log(eventlog.ConfigLagging, eventlog.Fields{"error": err.Error(), "revision": f.Current().Revision})
		return
	}
	f.log.Log(eventlog.ConfigCaughtUp, eventlog.Fields{"revision": f.Current().Revision})
}
