package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/position"
)

// Timeouts, intervals and backoffs of a follower.
const (
	// longPollTimeout limits one long poll of the store. It also limits how long
	// a silent connection stays in use: TCP keep-alive probes, which have a
	// resolution of whole seconds, detect it only after three seconds.
	// hubLongPollTimeout replaces it at a node that other nodes read from: they
	// judge its copy by its age.
	longPollTimeout    = 2 * time.Second
	hubLongPollTimeout = 700 * time.Millisecond
	// recoveryPollTimeout limits long polls after a failed store call, so that
	// the first answer, with all missed changes, comes at once.
	recoveryPollTimeout = 20 * time.Millisecond
	// storeReplyMargin is added to the timeout of a long poll; a call without an
	// answer by then has failed.
	storeReplyMargin = 400 * time.Millisecond
	// snapshotTimeout limits a read of a whole table. Sources give up earlier when one
	// is silent for SilenceTimeout; the smallest nodes take a second for the data of
	// some thousand hosts.
	snapshotTimeout = 4 * time.Second
	// retryBackoff plus a random part of maxRetryJitter separates calls after a
	// failure. While peers supply a fresh copy, the backoff of the store doubles
	// with each failure up to maxStoreBackoff.
	retryBackoff    = 150 * time.Millisecond
	maxRetryJitter  = 150 * time.Millisecond
	maxStoreBackoff = 2 * time.Second
	// minPollInterval separates an answer from the next call, so that changes in
	// quick succession are read in batches.
	minPollInterval = 100 * time.Millisecond
	// hubPollInterval replaces minPollInterval at a node that other nodes read
	// from: in a large fleet some host changes at nearly every moment.
	hubPollInterval = 200 * time.Millisecond
	// peerPollTimeout limits a long poll of another node, and peerReplyMargin is
	// added to it for the answer.
	peerPollTimeout = 400 * time.Millisecond
	peerReplyMargin = 300 * time.Millisecond
	// maxCopyAge is the age above which another node's copy counts as stale. It
	// is longer than a hub's long poll, and short enough to switch to the store
	// in time.
	maxCopyAge = 1400 * time.Millisecond
	// firstCopyBackoff plus a random part of the same length separates the rounds in
	// which a node that has started again asks others for its first copy.
	firstCopyBackoff = 150 * time.Millisecond
	// hubAwaitInterval is the time between two checks for a hub after the start.
	hubAwaitInterval = 20 * time.Millisecond
	// hubQuarantine is how long a node reads from the deputies after its hub failed
	// or supplied a stale copy, and from the store after all deputies did.
	hubQuarantine = 1500 * time.Millisecond
	// deputyGracePeriod is how long after the failure of its hub a node waits for a
	// fresh copy from the deputies, which notice the failure at the same time.
	deputyGracePeriod = 700 * time.Millisecond
	// memberStoreInterval is the minimum time between two calls of a node to a
	// failing store if it has deputies. They learn earlier that the store is back. With
	// more than membersPerStoreInterval nodes in a failure domain it grows, so that the
	// calls of a domain do not grow with its nodes.
	memberStoreInterval     = 1500 * time.Millisecond
	membersPerStoreInterval = 10
)

// Upstream lists the other nodes that a node may read from.
type Upstream struct {
	// Hub is the node that reads the store on behalf of this one, or nil.
	Hub Source
	// Deputies replace the hub, in this order, while it fails. They are empty at the
	// hub and at the deputies themselves, which read from the store then.
	Deputies []Source
	// AwaitsHub is true shortly after the start of a node in a large fleet, until
	// its hub has been found. The node then does not read from the store, since all
	// nodes may have started together.
	AwaitsHub bool
	// AvoidsStore is true shortly after a node of a large fleet has started again, since
	// all nodes may have. As long as the node has no copy it reads from the deputies,
	// which include its hub then, and not from the store.
	AvoidsStore bool
	// ServesOthers is true if other nodes read from this one.
	ServesOthers bool
	// DomainNodes is the number of live nodes of the failure domain.
	DomainNodes int
	// Peers are read from, in this order, while the store does not answer.
	Peers []Source
}

// Follower keeps a Table up to date from the store or from a hub, and from any
// other node while the store does not answer this one.
type Follower struct {
	topic    Topic
	store    Source
	upstream func() Upstream
	table    *Table
	log      *eventlog.Logger
	// notify is called without locks after each batch. restored is true if the store
	// has come back from an older copy since the batch before.
	notify func(changed []Record, restored bool)

	mu sync.Mutex
	// lastConfirmed is when the store last answered this node or the node that
	// it reads from; lastFailure is when a call to the store last failed there.
	lastConfirmed time.Time
	lastFailure   time.Time
	// lastOutage is lastFailure without the failures during which another node had a
	// fresh copy: then the store answers others.
	lastOutage time.Time
	storeLost  bool
	// hubQuarantinedUntil is the time until which the hub is not read from, and
	// deputiesQuarantinedUntil the same for the deputies.
	hubQuarantinedUntil      time.Time
	deputiesQuarantinedUntil time.Time
	// storeBackoff is the delay between calls to a failing store, and
	// nextStoreCall is when the next one is due.
	storeBackoff  time.Duration
	nextStoreCall time.Time
	// readsStore is true if the last answer came from the store.
	readsStore bool

	shared sharedAnswers
}

// NewFollower returns a follower that does nothing until Run.
func NewFollower(topic Topic, store Source, upstream func() Upstream, log *eventlog.Logger, notify func(changed []Record, restored bool)) *Follower {
	return &Follower{topic: topic, store: store, upstream: upstream, table: NewTable(), log: log, notify: notify}
}

// Table returns the node's copy.
func (f *Follower) Table() *Table { return f.table }

// Snapshot returns the whole copy for another node, and whether it was ever
// loaded.
func (f *Follower) Snapshot() (Batch, bool) {
	batch, loaded := f.table.Snapshot()
	return f.withAge(batch), loaded
}

// Changes returns changes of the copy for another node. It blocks like
// Table.Changes.
func (f *Follower) Changes(ctx context.Context, since position.Position, wait time.Duration) (Batch, error) {
	batch, err := f.table.Changes(ctx, since, wait)
	return f.withAge(batch), err
}

// withAge returns b with the age of the copy and of the last outage of the store.
func (f *Follower) withAge(b Batch) Batch {
	lastConfirmed, _ := f.LastContact()
	b.ConfirmedAgo = time.Since(lastConfirmed)
	if lastOutage := f.LastOutage(); !lastOutage.IsZero() {
		b.FailedAgo = time.Since(lastOutage)
	}
	return b
}

// Run keeps the table up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		up := f.upstream()
		if up.AwaitsHub {
			sleep(ctx, hubAwaitInterval)
			continue
		}
		if up.Hub != nil && f.hubIsUsable() {
			f.readFromHub(ctx, up.Hub)
			continue
		}
		avoidsStore := up.AvoidsStore && !f.isLoaded()
		if f.readFromDeputies(ctx, up.Deputies, avoidsStore) || len(up.Deputies) > 0 && f.hubFailedLately() {
			sleep(ctx, minPollInterval)
			continue
		}
		if avoidsStore {
			sleep(ctx, firstCopyBackoff+rand.N(firstCopyBackoff))
			continue
		}
		minDelay := up.memberStoreDelay()
		f.spreadStoreCalls(minDelay - memberStoreInterval)
		wait, interval := longPollTimeout, minPollInterval
		if up.ServesOthers {
			wait, interval = hubLongPollTimeout, hubPollInterval
		}
		if f.storeIsLost() {
			wait = recoveryPollTimeout
		}
		if f.storeIsDue() && f.readFromStore(ctx, wait) {
			sleep(ctx, interval)
			continue
		}
		f.scheduleStoreCall(f.readFromPeers(ctx, up.Peers), minDelay)
		sleep(ctx, retryBackoff+rand.N(maxRetryJitter))
	}
}

func (f *Follower) isLoaded() bool {
	_, loaded := f.table.Version()
	return loaded
}

func (f *Follower) storeIsDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !time.Now().Before(f.nextStoreCall)
}

// memberStoreDelay returns the minimum time between two calls of a node with deputies to
// a failing store, and 0 for others. A node without peers has no other source.
func (up Upstream) memberStoreDelay() time.Duration {
	switch {
	case len(up.Deputies) == 0:
		return 0
	case len(up.Peers) == 0:
		return memberStoreInterval
	}
	return max(memberStoreInterval, memberStoreInterval*time.Duration(up.DomainNodes)/membersPerStoreInterval)
}

// spreadStoreCalls delays the first call to the store after the hub and the deputies have
// failed by a random part of spread, as all members notice it at once.
func (f *Follower) spreadStoreCalls(spread time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if spread > 0 && !f.readsStore && f.nextStoreCall.IsZero() {
		f.nextStoreCall = time.Now().Add(rand.N(spread))
	}
}

// scheduleStoreCall sets the time of the next call to a failing store, at least
// minDelay after this one. The delay grows while peers supply a fresh copy.
func (f *Follower) scheduleStoreCall(peersAreFresh bool, minDelay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Before(f.nextStoreCall) && (peersAreFresh || minDelay > 0) {
		return
	}
	f.storeBackoff = min(max(2*f.storeBackoff, retryBackoff), maxStoreBackoff)
	if !peersAreFresh {
		f.storeBackoff = 0
	}
	f.nextStoreCall = now.Add(max(f.storeBackoff, minDelay))
}

func (f *Follower) storeIsLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeLost
}

// hubIsUsable reports whether the hub is not in quarantine.
func (f *Follower) hubIsUsable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !time.Now().Before(f.hubQuarantinedUntil)
}

// hubFailedLately reports whether the hub failed within the deputies' grace period.
func (f *Follower) hubFailedLately() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hubFailedLatelyLocked()
}

// hubFailedLatelyLocked implements hubFailedLately. The caller must hold mu.
func (f *Follower) hubFailedLatelyLocked() bool {
	return time.Until(f.hubQuarantinedUntil) > hubQuarantine-deputyGracePeriod
}

// readFromHub makes one call to the hub. A hub that does not answer, or whose
// copy is stale, is quarantined.
func (f *Follower) readFromHub(ctx context.Context, hub Source) {
	batch, err := f.read(ctx, hub, peerPollTimeout, peerReplyMargin)
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		f.recordAnswer(batch)
		f.setReadsStore(false)
		f.apply(batch)
		if batch.ConfirmedAgo <= maxCopyAge {
			sleep(ctx, minPollInterval)
			return
		}
	}
	f.mu.Lock()
	f.hubQuarantinedUntil = time.Now().Add(hubQuarantine)
	f.mu.Unlock()
	fields := eventlog.Fields{"topic": f.topic, "copy_age_ms": batch.ConfirmedAgo.Milliseconds()}
	if err != nil {
		fields["error"] = err.Error()
	}
	f.log.Log(eventlog.FeedHubFailed, fields)
}

// readFromDeputies makes one call to the first deputy with a fresh copy and reports
// whether there was one. Without one the deputies are quarantined, unless they may be
// starting like this node.
func (f *Follower) readFromDeputies(ctx context.Context, deputies []Source, starting bool) bool {
	f.mu.Lock()
	quarantined := time.Now().Before(f.deputiesQuarantinedUntil)
	f.mu.Unlock()
	if quarantined {
		return false
	}
	for _, deputy := range deputies {
		batch, err := f.read(ctx, deputy, recoveryPollTimeout, peerReplyMargin)
		if ctx.Err() != nil {
			return true
		}
		if err == nil && batch.ConfirmedAgo <= maxCopyAge {
			f.recordAnswer(batch)
			f.setReadsStore(false)
			f.apply(batch)
			return true
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !starting && !f.hubFailedLatelyLocked() {
		f.deputiesQuarantinedUntil = time.Now().Add(hubQuarantine)
	}
	return false
}

// readFromStore makes one call to the store and reports whether it answered.
func (f *Follower) readFromStore(ctx context.Context, wait time.Duration) bool {
	batch, err := f.read(ctx, f.store, wait, storeReplyMargin)
	if ctx.Err() != nil {
		return true
	}
	if err != nil {
		f.recordStoreFailure(err)
		return false
	}
	f.recordAnswer(Batch{})
	f.setReadsStore(true)
	f.apply(batch)
	return true
}

// read returns the changes since the table's version, or the whole table if it
// was never loaded or the source no longer has the history.
func (f *Follower) read(ctx context.Context, source Source, wait, replyMargin time.Duration) (Batch, error) {
	if version, loaded := f.table.Version(); loaded {
		callCtx, cancel := context.WithTimeout(ctx, wait+replyMargin)
		defer cancel()
		batch, err := source.Changes(callCtx, f.topic, f.table.Position(), wait)
		if err == nil {
			batch, err = f.table.Complete(batch)
		}
		if !errors.Is(err, ErrCompacted) && !errors.Is(err, errValueMissing) {
			return batch, err
		}
		f.log.Log(eventlog.FeedCompacted, eventlog.Fields{"topic": f.topic, "since": version})
	}
	callCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	return source.Snapshot(callCtx, f.topic)
}

func (f *Follower) apply(b Batch) {
	_, loaded := f.table.Version()
	before := f.table.Position()
	changed := f.table.Apply(b)
	after := f.table.Position()
	restored := loaded && after.Era > before.Era
	if restored {
		f.log.Log(eventlog.StoreRestored, eventlog.Fields{"topic": f.topic, "era": after.Era, "version": after.Version, "former_version": before.Version})
	}
	f.notify(changed, restored)
}

// readFromPeers reads once from the first peer that answers, and reports whether
// its copy is fresh.
func (f *Follower) readFromPeers(ctx context.Context, peers []Source) bool {
	for _, peer := range peers {
		batch, err := f.read(ctx, peer, peerPollTimeout, peerReplyMargin)
		if err != nil {
			continue // the failure of the store is logged already; try the next peer
		}
		before := f.table.Position()
		f.recordPeerCopy(batch)
		f.apply(batch)
		if after := f.table.Position(); after != before {
			f.log.Log(eventlog.FeedFromPeer, eventlog.Fields{"topic": f.topic, "from_version": before.Version, "version": after.Version})
		}
		return batch.ConfirmedAgo <= maxCopyAge
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
