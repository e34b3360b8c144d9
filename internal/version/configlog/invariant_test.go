package configlog

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/standin/platform"
	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/snapshot"
)

const (
	// maxConfigLag is how long after the acceptance of a revision a node that
	// reaches the store or a peer may still read an older one.
	maxConfigLag = 5 * time.Second
	numKeys      = 3
	numWriters   = 4
	// lostReplyValue is the value of the proposal whose reply is certainly lost.
	lostReplyValue = 1_000_000
	// checkTimeout limits the search for a linearization, in real time.
	checkTimeout = time.Minute
)

// config is a configuration as a node reads it: the revision and, for each key,
// its resource version and value.
type config struct {
	revision int64
	versions [numKeys]int64
	values   [numKeys]int
}

// operation is one proposal, or a read of the configuration in force.
type operation struct {
	write    bool
	key      int
	expect   int64
	value    int
	accepted int64 // revision of an accepted proposal, otherwise 0
	conflict int64 // current version in the VersionError of a proposal
	read     config
}

// configHistory is the state of the reference model: the configuration at each
// revision. It is never changed in place.
type configHistory []config

// configModel is the reference model. It accepts a proposal as the next revision
// only if the version that it names is current, and a read only if it shows one
// whole revision that was accepted before. The lag of reads is checked by
// checkLag.
var configModel = porcupine.Model{
	Init: func() any { return configHistory{{}} },
	Step: func(state, input, _ any) (bool, any) {
		log, op := state.(configHistory), input.(operation)
		s := log[len(log)-1]
		switch {
		case !op.write:
			return op.read.revision < int64(len(log)) && log[op.read.revision] == op.read, log
		case op.accepted == 0:
			return s.versions[op.key] == op.conflict && op.conflict != op.expect, log
		case op.accepted != s.revision+1 || (op.expect != 0 && op.expect != s.versions[op.key]):
			return false, log
		}
		s.revision = op.accepted
		s.versions[op.key] = op.accepted
		s.values[op.key] = op.value
		return true, append(log[:len(log):len(log)], s)
	},
	Equal: func(a, b any) bool { return slices.Equal(a.(configHistory), b.(configHistory)) },
}

// recorder collects the operations of one run.
type recorder struct {
	t     *testing.T
	begin time.Time

	mu      sync.Mutex
	history []porcupine.Operation
	// unknownOutcome contains, by author, the proposals that ended with
	// table.ErrUnknown, and rejected those that ended with
	// table.ErrUnavailable, which means that they had no effect.
	unknownOutcome map[string]porcupine.Operation
	rejected       map[string]bool
	// connectedReads are the reads of nodes that must not lag.
	connectedReads []connectedRead
	// lastRevision is the revision that each node read last, across restarts.
	lastRevision map[string]int64
}

// connectedRead is a read at a node that has reached the store or a peer for longer
// than maxConfigLag.
type connectedRead struct {
	node     string
	at       int64
	revision int64
}

func (r *recorder) now() int64 { return int64(time.Since(r.begin)) }

// keyObject returns the object of a key, whose queue bound is the value.
func keyObject(key int, value int) *object.Object { return newRank(fmt.Sprintf("key-%d", key), value) }

func readConfig(s *snapshot.Snapshot) config {
	read := config{revision: s.Revision}
	for key := range numKeys {
		if o := s.Objects[keyObject(key, 1).Key()]; o != nil {
			read.versions[key] = o.Metadata.ResourceVersion
			read.values[key] = o.Spec.(*object.RankSpec).QueueBound
		}
	}
	return read
}

// write proposes random changes through random ready nodes until ctx ends.
func (r *recorder) write(ctx context.Context, f *fleet, writer int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(writer)))
	for i := 0; sleep(ctx, time.Second+time.Duration(random.Int64N(int64(3*time.Second)))) == nil; i++ {
		n := f.randomReadyNode()
		if n == nil || n.isIsolated() {
			continue
		}
		op := operation{write: true, key: random.IntN(numKeys), value: 1 + writer + numWriters*i}
		if random.IntN(4) > 0 {
			op.expect = readConfig(n.follower.Current()).versions[op.key]
		}
		r.propose(ctx, n, op, fmt.Sprintf("writer-%d-%d", writer, i))
	}
}

func (r *recorder) propose(ctx context.Context, n *fleetNode, op operation, author string) {
	o := keyObject(op.key, op.value)
	o.Metadata.ResourceVersion = op.expect
	p := proposalOf(o)
	p.Author = author
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	call := r.now()
	record, err := n.acceptor.Propose(ctx, p)
	r.mu.Lock()
	defer r.mu.Unlock()
	var version *VersionError
	switch {
	case err == nil:
		op.accepted = record.Revision
		r.history = append(r.history, porcupine.Operation{Input: op, Call: call, Return: r.now()})
	case errors.As(err, &version):
		op.conflict = version.Current
		r.history = append(r.history, porcupine.Operation{Input: op, Call: call, Return: r.now()})
	case errors.Is(err, table.ErrUnknown):
		r.unknownOutcome[author] = porcupine.Operation{Input: op, Call: call, Return: math.MaxInt64}
	case errors.Is(err, table.ErrUnavailable):
		r.rejected[author] = true
	default:
		r.t.Errorf("%s: unexpected error: %v", author, err)
	}
}

// read records the configuration in force at a node until the node stops.
func (r *recorder) read(n *fleetNode) {
	for {
		changed := n.follower.Changed()
		if n.follower.Ready() {
			r.readOnce(n)
		}
		select {
		case <-changed:
		case <-time.After(3 * time.Second):
		case <-n.stopped:
			return
		}
	}
}

// readOnce records one read, and fails the test where its revision is lower than
// that of an earlier read at the node.
func (r *recorder) readOnce(n *fleetNode) {
	read := readConfig(n.follower.Current())
	r.mu.Lock()
	defer r.mu.Unlock()
	if last := r.lastRevision[n.name]; read.revision < last {
		r.t.Errorf("%s: revision decreased from %d to %d at %s", n.name, last, read.revision, time.Since(r.begin))
	}
	r.lastRevision[n.name] = read.revision
	now := r.now()
	r.history = append(r.history, porcupine.Operation{Input: operation{read: read}, Call: now, Return: now})
	if since, connected := n.connectedSince(); connected && time.Since(since) > maxConfigLag {
		r.connectedReads = append(r.connectedReads, connectedRead{node: n.name, at: now, revision: read.revision})
	}
}

// addUnknownOutcomes adds the proposals with an unknown outcome to the history
// where the log shows that they were accepted. It fails the test for a rejected
// proposal that is in the log.
func (r *recorder) addUnknownOutcomes(revisions map[string]int64) {
	for author, op := range r.unknownOutcome {
		if revision := revisions[author]; revision > 0 {
			input := op.Input.(operation)
			input.accepted = revision
			op.Input = input
			r.history = append(r.history, op)
		}
	}
	for author := range r.rejected {
		if revisions[author] > 0 {
			r.t.Errorf("%s: got ErrUnavailable, but was accepted as revision %d", author, revisions[author])
		}
	}
}

// checkLag fails the test for connected reads that miss a revision accepted more
// than maxConfigLag before.
func (r *recorder) checkLag() {
	for _, read := range r.connectedReads {
		for _, op := range r.history {
			input := op.Input.(operation)
			if input.accepted > read.revision && op.Return < read.at-int64(maxConfigLag) {
				r.t.Errorf("%s: got revision %d at %s, want at least %d, which was accepted at %s", read.node, read.revision, time.Duration(read.at), input.accepted, time.Duration(op.Return))
				break
			}
		}
	}
}

// TestInvariantConfigMonotone lets concurrent writers change the same objects
// through several nodes under fault injection: replies are lost, the store is
// slow, unavailable or hangs for minutes, nodes restart or start without the
// store, and one node is isolated and becomes stale. It verifies that the history
// of proposals and reads is linearizable for configModel, so that no version is
// overwritten unseen; that a node reads whole revisions that never decrease; and
// that no node that reaches the store or a peer lags by more than maxConfigLag.
func TestInvariantConfigMonotone(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := &recorder{t: t, unknownOutcome: make(map[string]porcupine.Operation), rejected: make(map[string]bool), lastRevision: make(map[string]int64)}
			synctest.Test(t, func(t *testing.T) { runUnderFaults(t, r, seed) })
			accepted := 0
			for _, op := range r.history {
				if input := op.Input.(operation); input.write && input.accepted > 0 {
					accepted++
				}
			}
			t.Logf("%d operations, %d proposals accepted, %d with unknown outcome, %d rejected", len(r.history), accepted, len(r.unknownOutcome), len(r.rejected))
			if accepted < 100 || len(r.unknownOutcome) == 0 || len(r.rejected) == 0 {
				t.Error("the run covers too few outcomes: want at least 100 proposals accepted, some rejected and some with unknown outcome")
			}
			r.checkLag()
			if result := porcupine.CheckOperationsTimeout(configModel, r.history, checkTimeout); result != porcupine.Ok {
				t.Errorf("linearizability check: got %s, want Ok", result)
			}
		})
	}
}

// runUnderFaults runs the fleet through the sequence of faults and records its
// operations.
func runUnderFaults(t *testing.T, r *recorder, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	f := newFleet(seed)
	r.begin = time.Now()
	watch := func(n *fleetNode) *fleetNode {
		f.running.Go(func() { r.read(n) })
		return n
	}
	var nodes []*fleetNode
	for i := range 5 {
		nodes = append(nodes, watch(f.start(ctx, fmt.Sprint("node-", i), false)))
	}
	revisionByAuthor := make(map[string]int64)
	f.running.Go(func() { collectRevisions(ctx, f.platform.Table, revisionByAuthor) })
	writing, stopWriting := context.WithCancel(ctx)
	for writer := range numWriters {
		f.running.Go(func() { r.write(writing, f, writer, seed) })
	}

	f.platform.SetFaults(platform.Faults{LoseEvery: 3})
	time.Sleep(time.Minute)
	for range 20 {
		f.platform.SetFaults(platform.Faults{DelayMillis: 300, LoseEvery: 2})
		time.Sleep(4 * time.Second)
		f.platform.SetFaults(platform.Faults{Outage: true})
		time.Sleep(20 * time.Second)
	}
	stale := nodes[4]
	stale.setIsolated(true)
	f.platform.SetFaults(platform.Faults{DelayMillis: 1000, LoseEvery: 5})
	time.Sleep(2 * time.Minute)
	f.stopNode(nodes[1])
	watch(f.start(ctx, "node-1", false))
	time.Sleep(20 * time.Second)
	f.platform.SetFaults(platform.Faults{})
	time.Sleep(20 * time.Second)
	f.platform.SetFaults(platform.Faults{LoseNext: 2 * numWriters})
	f.running.Go(func() { r.propose(writing, nodes[0], operation{write: true, value: lostReplyValue}, "lost") })
	synctest.Wait()
	f.platform.SetFaults(platform.Faults{Outage: true})
	time.Sleep(time.Minute)
	started := watch(f.start(ctx, "node-5", false))
	f.stopNode(nodes[2])
	isolated := watch(f.start(ctx, "node-6", true))
	restarted := watch(f.start(ctx, "node-2", false))
	time.Sleep(maxConfigLag)
	if !started.follower.Ready() || !restarted.follower.Ready() {
		t.Errorf("without the store, after %s: started node ready %t, restarted node ready %t, want both", maxConfigLag, started.follower.Ready(), restarted.follower.Ready())
	}
	time.Sleep(2 * time.Minute)
	if isolated.follower.Ready() {
		t.Error("a node that reached neither the store nor a peer became ready")
	}
	isolated.setIsolated(false)
	f.platform.SetFaults(platform.Faults{LoseEvery: 4})
	stale.setIsolated(false)
	time.Sleep(30 * time.Second)
	f.platform.SetFaults(platform.Faults{Pause: true})
	time.Sleep(90 * time.Second)
	f.platform.SetFaults(platform.Faults{})
	time.Sleep(time.Minute)

	stopWriting()
	time.Sleep(maxConfigLag + 15*time.Second)
	head, err := readHead(ctx, f.platform.Table)
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range f.nodes {
		if got := n.follower.Current().Revision; got != head {
			t.Errorf("%s ends at revision %d, want the head %d", n.name, got, head)
		}
	}
	cancel()
	f.running.Wait()
	r.addUnknownOutcomes(revisionByAuthor)
}

// collectRevisions stores the revision of each author's record while a sweeper
// compacts the part of the log that was already read.
func collectRevisions(ctx context.Context, store table.Store, revisionByAuthor map[string]int64) {
	reader := NewAcceptor(store, eventlog.Discard())
	sweeper := NewSweeper(store, 20, time.Minute, eventlog.Discard())
	after := int64(0)
	for sleep(ctx, time.Second) == nil {
		records, err := reader.Records(ctx, after, sweepBatchSize)
		if err != nil {
			continue
		}
		for _, record := range records {
			revisionByAuthor[record.Author] = record.Revision
			after = record.Revision
		}
		_, _ = sweeper.Sweep(ctx)
	}
}
