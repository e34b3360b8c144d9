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
	// inForceBound is how long after an acceptance a node that reaches the
	// store or a peer may still read an older revision.
	inForceBound = 5 * time.Second
	raceKeys     = 3
	raceWriters  = 4
	// lostValue is the value of the proposal whose answer is lost for sure.
	lostValue = 1_000_000
	// checkTimeout bounds the search for a linearization, in real time.
	checkTimeout = time.Minute
)

// config is the state of the model, and what a node reads: the revision and,
// for each key, its resource version and value.
type config struct {
	revision int64
	versions [raceKeys]int64
	values   [raceKeys]int
}

// operation is one proposal, or a read of the configuration in force.
type operation struct {
	write    bool
	key      int
	expect   int64
	value    int
	accepted int64 // revision of an accepted proposal
	conflict int64 // current version that a refused proposal was told
	read     config
}

// configHistory is the state of the model: the configuration at each revision. It
// is never changed in place.
type configHistory []config

// configModel accepts a proposal as the next revision only at the version that
// it names, and shows reads one whole revision that was accepted before. How
// far reads may lag is checked apart.
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

// recorder collects the history of one run.
type recorder struct {
	t     *testing.T
	begin time.Time

	mu      sync.Mutex
	history []porcupine.Operation
	// open holds proposals with an unknown outcome by author, and refused
	// those that were told that they had no effect.
	open    map[string]porcupine.Operation
	refused map[string]bool
	// bounded are the reads of nodes that must not lag.
	bounded []boundedRead
	// last is the revision that each node read last, over its restarts.
	last map[string]int64
}

// boundedRead is a read of a node that reaches the store or a peer.
type boundedRead struct {
	node     string
	at       int64
	revision int64
}

func (r *recorder) now() int64 { return int64(time.Since(r.begin)) }

func raceObject(key int, value int) *object.Object { return rank(fmt.Sprintf("key-%d", key), value) }

func readConfig(s *snapshot.Snapshot) config {
	read := config{revision: s.Revision}
	for key := range raceKeys {
		if o := s.Objects[raceObject(key, 1).Key()]; o != nil {
			read.versions[key] = o.Metadata.ResourceVersion
			read.values[key] = o.Spec.(*object.RankSpec).QueueBound
		}
	}
	return read
}

// write proposes random changes through random nodes until ctx ends.
func (r *recorder) write(ctx context.Context, f *fleet, writer int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(writer)))
	for i := 0; sleep(ctx, time.Second+time.Duration(random.Int64N(int64(3*time.Second)))) == nil; i++ {
		n := f.pick()
		if n == nil || n.isCut() {
			continue
		}
		op := operation{write: true, key: random.IntN(raceKeys), value: 1 + writer + raceWriters*i}
		if random.IntN(4) > 0 {
			op.expect = readConfig(n.follower.Current()).versions[op.key]
		}
		r.propose(ctx, n, op, fmt.Sprintf("writer-%d-%d", writer, i))
	}
}

func (r *recorder) propose(ctx context.Context, n *fleetNode, op operation, author string) {
	o := raceObject(op.key, op.value)
	o.Metadata.ResourceVersion = op.expect
	p := put(o)
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
		r.open[author] = porcupine.Operation{Input: op, Call: call, Return: math.MaxInt64}
	case errors.Is(err, table.ErrUnavailable):
		r.refused[author] = true
	default:
		r.t.Errorf("%s: unexpected error: %v", author, err)
	}
}

// read records what a node has in force until it stops, and checks each change
// for a lower revision.
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

func (r *recorder) readOnce(n *fleetNode) {
	read := readConfig(n.follower.Current())
	r.mu.Lock()
	defer r.mu.Unlock()
	if last := r.last[n.name]; read.revision < last {
		r.t.Errorf("%s went back from revision %d to %d at %s", n.name, last, read.revision, time.Since(r.begin))
	}
	r.last[n.name] = read.revision
	now := r.now()
	r.history = append(r.history, porcupine.Operation{Input: operation{read: read}, Call: now, Return: now})
	if since, connected := n.upToDateSince(); connected && time.Since(since) > inForceBound {
		r.bounded = append(r.bounded, boundedRead{node: n.name, at: now, revision: read.revision})
	}
}

// settle turns the proposals with an unknown outcome into what the log says.
func (r *recorder) settle(records map[string]int64) {
	for author, op := range r.open {
		if revision := records[author]; revision > 0 {
			input := op.Input.(operation)
			input.accepted = revision
			op.Input = input
			r.history = append(r.history, op)
		}
	}
	for author := range r.refused {
		if records[author] > 0 {
			r.t.Errorf("%s was told that it was not accepted, but is revision %d", author, records[author])
		}
	}
}

// checkLag reports reads that miss a revision accepted longer ago than the
// bound.
func (r *recorder) checkLag() {
	for _, read := range r.bounded {
		for _, op := range r.history {
			input := op.Input.(operation)
			if input.accepted > read.revision && op.Return < read.at-int64(inForceBound) {
				r.t.Errorf("%s reads revision %d at %s, but %d was accepted at %s", read.node, read.revision, time.Duration(read.at), input.accepted, time.Duration(op.Return))
				break
			}
		}
	}
}

// TestInvariantConfigMonotone lets operators race on the same objects through
// several nodes, while answers are lost, the store is slow, out and hangs for
// minutes, nodes restart or start without the store, and one node is stale.
// Acceptances and reads must have one order in which no version is overwritten
// unseen, every node reads whole revisions that never go back, and no node
// that reaches the store or a peer lags by more than inForceBound.
func TestInvariantConfigMonotone(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := &recorder{t: t, open: make(map[string]porcupine.Operation), refused: make(map[string]bool), last: make(map[string]int64)}
			synctest.Test(t, func(t *testing.T) { raceUnderFaults(t, r, seed) })
			accepted := 0
			for _, op := range r.history {
				if input := op.Input.(operation); input.write && input.accepted > 0 {
					accepted++
				}
			}
			t.Logf("%d operations, %d accepted, %d unknown, %d refused", len(r.history), accepted, len(r.open), len(r.refused))
			if accepted < 100 || len(r.open) == 0 || len(r.refused) == 0 {
				t.Error("the run did not reach every outcome")
			}
			r.checkLag()
			if result := porcupine.CheckOperationsTimeout(configModel, r.history, checkTimeout); result != porcupine.Ok {
				t.Errorf("history check: %s", result)
			}
		})
	}
}

func raceUnderFaults(t *testing.T, r *recorder, seed uint64) {
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
	logged := make(map[string]int64)
	f.running.Go(func() { collectLog(ctx, f.platform.Table, logged) })
	writing, stopWriting := context.WithCancel(ctx)
	for writer := range raceWriters {
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
	stale.setCut(true)
	f.platform.SetFaults(platform.Faults{DelayMillis: 1000, LoseEvery: 5})
	time.Sleep(2 * time.Minute)
	f.remove(nodes[1])
	watch(f.start(ctx, "node-1", false))
	time.Sleep(20 * time.Second)
	f.platform.SetFaults(platform.Faults{})
	time.Sleep(20 * time.Second)
	f.platform.SetFaults(platform.Faults{LoseNext: 2 * raceWriters})
	f.running.Go(func() { r.propose(writing, nodes[0], operation{write: true, value: lostValue}, "lost") })
	synctest.Wait()
	f.platform.SetFaults(platform.Faults{Outage: true})
	time.Sleep(time.Minute)
	started := watch(f.start(ctx, "node-5", false))
	f.remove(nodes[2])
	alone := watch(f.start(ctx, "node-6", true))
	restarted := watch(f.start(ctx, "node-2", false))
	time.Sleep(inForceBound)
	if !started.follower.Ready() || !restarted.follower.Ready() {
		t.Errorf("without the store, after %s: started node ready %t, restarted node ready %t, want both", inForceBound, started.follower.Ready(), restarted.follower.Ready())
	}
	time.Sleep(2 * time.Minute)
	if alone.follower.Ready() {
		t.Error("a node that reached neither the store nor a peer became ready")
	}
	alone.setCut(false)
	f.platform.SetFaults(platform.Faults{LoseEvery: 4})
	stale.setCut(false)
	time.Sleep(30 * time.Second)
	f.platform.SetFaults(platform.Faults{Pause: true})
	time.Sleep(90 * time.Second)
	f.platform.SetFaults(platform.Faults{})
	time.Sleep(time.Minute)

	stopWriting()
	time.Sleep(inForceBound + 15*time.Second)
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
	r.settle(logged)
}

// collectLog gathers the revision of each author while a sweeper compacts the
// log behind it.
func collectLog(ctx context.Context, store table.Store, logged map[string]int64) {
	reader := NewAcceptor(store, eventlog.Discard())
	sweeper := NewSweeper(store, 20, time.Minute, eventlog.Discard())
	after := int64(0)
	for sleep(ctx, time.Second) == nil {
		records, err := reader.Records(ctx, after, sweepBatch)
		if err != nil {
			continue
		}
		for _, record := range records {
			logged[record.Author] = record.Revision
			after = record.Revision
		}
		_, _ = sweeper.Sweep(ctx)
	}
}
