package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
)

// Periods of a follower.
const (
	// LongPoll bounds one wait for changes at the store. It also bounds how long
	// a connection that went silent is trusted: keep-alive probes, in whole
	// seconds, take three. ReaderPoll is the bound of a node on whose copy
	// others rely: they judge it by its age.
	LongPoll   = 2 * time.Second
	ReaderPoll = 700 * time.Millisecond
	// recoveryPoll is the wait of the first call after a failure, which tells
	// at once what was missed.
	recoveryPoll = 20 * time.Millisecond
	// answerSlack is added to a wait before a call counts as lost.
	answerSlack = 400 * time.Millisecond
	// callTimeout bounds a read of a whole table.
	callTimeout = time.Second
	// retryPause and retryJitter separate calls after a failure. While peers
	// have a fresh copy, the store is tried less and less often, up to
	// maxStorePause.
	retryPause    = 150 * time.Millisecond
	retryJitter   = 150 * time.Millisecond
	maxStorePause = 2 * time.Second
	// minPause separates two calls while changes come one after another, so
	// that they are read in batches.
	minPause = 100 * time.Millisecond
	// readerPause is the same for a node on whose copy others rely: in a large
	// fleet some host changes at nearly every moment.
	readerPause = 200 * time.Millisecond
	// peerWait bounds one wait for changes at another node, peerSlack the time
	// until its answer.
	peerWait  = 400 * time.Millisecond
	peerSlack = 300 * time.Millisecond
	// maxCopyAge is the age from which a reader's copy is not trusted: longer
	// than its poll, and short enough to ask the store in time.
	maxCopyAge = 1400 * time.Millisecond
	// distrust is how long a node reads from the store after its reader has
	// failed it.
	distrust = 1500 * time.Millisecond
)

// Upstream says from where a node reads.
type Upstream struct {
	// Reader is another node that reads for this one, or nil.
	Reader Source
	// Serves is true where other nodes read from this one.
	Serves bool
	// Peers are asked, in this order, while the store does not answer.
	Peers []Source
}

// Follower keeps a Table up to date from the store or from a reader, and from
// any other node while the store does not answer this one.
type Follower struct {
	topic    Topic
	store    Source
	upstream func() Upstream
	table    *Table
	log      *eventlog.Logger
	// notify is called, outside of locks, after each batch.
	notify func(changed []Record)

	mu sync.Mutex
	// confirmed is when the store last answered this node or its reader;
	// disturbed when a call of the store last failed there.
	confirmed time.Time
	disturbed time.Time
	lost      bool
	// direct is until when the reader is not asked.
	direct time.Time
	// storePause is the pause between two tries of a store that fails, and
	// storeAt when the next one is due.
	storePause time.Duration
	storeAt    time.Time
}

// NewFollower returns a follower that does nothing until Run.
func NewFollower(topic Topic, store Source, upstream func() Upstream, log *eventlog.Logger, notify func([]Record)) *Follower {
	return &Follower{topic: topic, store: store, upstream: upstream, table: NewTable(), log: log, notify: notify}
}

// Table returns the node's copy.
func (f *Follower) Table() *Table { return f.table }

// Contact returns when the store last confirmed the copy and when a call last
// failed.
func (f *Follower) Contact() (confirmed, disturbed time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed, f.disturbed
}

// Snapshot serves the whole copy to another node.
func (f *Follower) Snapshot() (Batch, bool) {
	batch, loaded := f.table.Snapshot()
	return f.dated(batch), loaded
}

// Changes serves changes of the copy to another node.
func (f *Follower) Changes(ctx context.Context, since int64, wait time.Duration) (Batch, error) {
	batch, err := f.table.Changes(ctx, since, wait)
	return f.dated(batch), err
}

// dated says how old the copy is.
func (f *Follower) dated(b Batch) Batch {
	confirmed, disturbed := f.Contact()
	b.ConfirmedAgo = time.Since(confirmed)
	if !disturbed.IsZero() {
		b.FailedAgo = time.Since(disturbed)
	}
	return b
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		up := f.upstream()
		if up.Reader != nil && f.trusts() {
			f.readReader(ctx, up.Reader)
			continue
		}
		wait, pause := LongPoll, minPause
		if up.Serves {
			wait, pause = ReaderPoll, readerPause
		}
		if f.isLost() {
			wait = recoveryPoll
		}
		if f.storeIsDue() && f.readStore(ctx, wait) {
			sleep(ctx, pause)
			continue
		}
		f.planStore(f.askPeers(ctx, up.Peers))
		sleep(ctx, retryPause+rand.N(retryJitter))
	}
}

func (f *Follower) storeIsDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !time.Now().Before(f.storeAt)
}

// planStore plans the next try of a store that has failed.
func (f *Follower) planStore(peersAreFresh bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if !peersAreFresh {
		f.storePause, f.storeAt = 0, time.Time{}
		return
	}
	if now.Before(f.storeAt) {
		return
	}
	f.storePause = min(max(2*f.storePause, retryPause), maxStorePause)
	f.storeAt = now.Add(f.storePause)
}

func (f *Follower) isLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}

// trusts reports whether the reader may be asked.
func (f *Follower) trusts() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !time.Now().Before(f.direct)
}

// readReader makes one call of the reader. A reader that does not answer, or
// whose copy is old, is not asked for a while.
func (f *Follower) readReader(ctx context.Context, reader Source) {
	batch, err := f.read(ctx, reader, peerWait, peerSlack)
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		f.noteAnswer(batch)
		f.apply(batch)
		if batch.ConfirmedAgo <= maxCopyAge {
			sleep(ctx, minPause)
			return
		}
	}
	f.mu.Lock()
	f.direct = time.Now().Add(distrust)
	f.mu.Unlock()
	fields := eventlog.Fields{"topic": f.topic, "copy_age_ms": batch.ConfirmedAgo.Milliseconds()}
	if err != nil {
		fields["error"] = err.Error()
	}
	f.log.Log(eventlog.FeedReaderLeft, fields)
}

// readStore makes one call of the store and reports whether it answered.
func (f *Follower) readStore(ctx context.Context, wait time.Duration) bool {
	batch, err := f.read(ctx, f.store, wait, answerSlack)
	if ctx.Err() != nil {
		return true
	}
	if err != nil {
		f.noteFailure(err)
		return false
	}
	f.noteAnswer(Batch{})
	f.apply(batch)
	return true
}

// read reads on from the table's version, or the whole table.
func (f *Follower) read(ctx context.Context, source Source, wait, slack time.Duration) (Batch, error) {
	version, loaded := f.table.Version()
	if loaded {
		bounded, cancel := context.WithTimeout(ctx, wait+slack)
		defer cancel()
		batch, err := source.Changes(bounded, f.topic, version, wait)
		if !errors.Is(err, ErrCompacted) {
			return batch, err
		}
		f.log.Log(eventlog.FeedCompacted, eventlog.Fields{"topic": f.topic, "since": version})
	}
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return source.Snapshot(bounded, f.topic)
}

func (f *Follower) apply(b Batch) {
	changed := f.table.Apply(b)
	f.notify(changed)
}

// askPeers reads once from the first other node that answers, and reports
// whether its copy is fresh.
func (f *Follower) askPeers(ctx context.Context, peers []Source) bool {
	for _, peer := range peers {
		batch, err := f.read(ctx, peer, peerWait, peerSlack)
		if err != nil {
			continue // the next peer is asked; the store's failure is logged
		}
		before, _ := f.table.Version()
		f.noteCopy(batch)
		f.apply(batch)
		if after, _ := f.table.Version(); after != before {
			f.log.Log(eventlog.FeedFromPeer, eventlog.Fields{"topic": f.topic, "from_version": before, "version": after})
		}
		return batch.ConfirmedAgo <= maxCopyAge
	}
	return false
}

// noteCopy notes how old a peer's copy is, while the store itself is lost.
func (f *Follower) noteCopy(b Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := time.Now().Add(-b.ConfirmedAgo); at.After(f.confirmed) {
		f.confirmed = at
	}
}

func (f *Follower) noteFailure(err error) {
	f.mu.Lock()
	f.disturbed = time.Now()
	first := !f.lost
	f.lost = true
	f.mu.Unlock()
	if first {
		version, _ := f.table.Version()
		f.log.Log(eventlog.FeedLost, eventlog.Fields{"topic": f.topic, "version": version, "error": err.Error()})
	}
}

// noteAnswer notes an answer of the store, or of a node that says how old its
// copy is.
func (f *Follower) noteAnswer(b Batch) {
	now := time.Now()
	f.mu.Lock()
	if at := now.Add(-b.ConfirmedAgo); at.After(f.confirmed) {
		f.confirmed = at
	}
	if at := now.Add(-b.FailedAgo); b.FailedAgo > 0 && at.After(f.disturbed) {
		f.disturbed = at
	}
	regained := f.lost && b.ConfirmedAgo <= maxCopyAge
	f.lost = f.lost && !regained
	f.storePause, f.storeAt = 0, time.Time{}
	f.mu.Unlock()
	if regained {
		version, _ := f.table.Version()
		f.log.Log(eventlog.FeedRegained, eventlog.Fields{"topic": f.topic, "version": version})
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
