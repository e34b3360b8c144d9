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
	// LongPoll bounds one wait for changes. It also bounds how long a
	// connection that went silent is trusted, so it stays below the bound
	// within which configuration must be in force.
	LongPoll = 1500 * time.Millisecond
	// answerSlack is added to a wait before a call counts as lost.
	answerSlack = 500 * time.Millisecond
	// callTimeout bounds a read of a whole table.
	callTimeout = time.Second
	// retryPause and retryJitter separate calls after a failure.
	retryPause  = 150 * time.Millisecond
	retryJitter = 150 * time.Millisecond
	// minPause separates two calls of the store while changes come one after
	// another, so that they are read in batches.
	minPause = 40 * time.Millisecond
	// peerWait bounds one wait for changes at another node.
	peerWait = 300 * time.Millisecond
)

// Peers returns other nodes that may serve a copy, in the order to try.
type Peers func() []Source

// Follower keeps a Table up to date from the store, and from other nodes while
// the store does not answer this one.
type Follower struct {
	topic Topic
	store Source
	peers Peers
	table *Table
	log   *eventlog.Logger
	// notify is called, outside of locks, after each batch.
	notify func(changed []Record)

	mu sync.Mutex
	// confirmed is when the store last answered; disturbed when a call of it
	// last failed.
	confirmed time.Time
	disturbed time.Time
	lost      bool
}

// NewFollower returns a follower that does nothing until Run.
func NewFollower(topic Topic, store Source, peers Peers, log *eventlog.Logger, notify func([]Record)) *Follower {
	return &Follower{topic: topic, store: store, peers: peers, table: NewTable(), log: log, notify: notify}
}

// Table returns the node's copy.
func (f *Follower) Table() *Table { return f.table }

// Contact returns when the store last answered and when a call last failed.
func (f *Follower) Contact() (confirmed, disturbed time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed, f.disturbed
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.step(ctx) {
			sleep(ctx, minPause)
			continue
		}
		f.askPeers(ctx)
		sleep(ctx, retryPause+rand.N(retryJitter))
	}
}

// step makes one call of the store and reports whether it answered.
func (f *Follower) step(ctx context.Context) bool {
	batch, err := f.read(ctx, f.store, LongPoll)
	if ctx.Err() != nil {
		return true
	}
	if err != nil {
		f.noteFailure(err)
		return false
	}
	f.noteAnswer()
	f.apply(batch)
	return true
}

// read reads on from the table's version, or the whole table.
func (f *Follower) read(ctx context.Context, source Source, wait time.Duration) (Batch, error) {
	version, loaded := f.table.Version()
	if loaded {
		bounded, cancel := context.WithTimeout(ctx, wait+answerSlack)
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

// askPeers reads once from the first other node that answers.
func (f *Follower) askPeers(ctx context.Context) {
	for _, peer := range f.peers() {
		batch, err := f.read(ctx, peer, peerWait)
		if err != nil {
			continue // the next peer is asked; the store's failure is logged
		}
		before, _ := f.table.Version()
		f.apply(batch)
		if after, _ := f.table.Version(); after != before {
			f.log.Log(eventlog.FeedFromPeer, eventlog.Fields{"topic": f.topic, "from_version": before, "version": after})
		}
		return
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

func (f *Follower) noteAnswer() {
	f.mu.Lock()
	f.confirmed = time.Now()
	regained := f.lost
	f.lost = false
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
