package lease

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/standin/platform"
)

const (
	testTTL   = 10 * time.Second
	testRenew = 3 * time.Second
	testPoll  = 250 * time.Millisecond
	testDuty  = "groups/hall1"
	// lateBy lets a late commit land before the renewal is tried again.
	lateBy = testRenew / 10
)

// lateStore delays answers, and reports every n-th commit as unknown although
// it takes effect a second later.
type lateStore struct {
	table.Store
	answerDelay time.Duration
	lateEvery   int

	mu      sync.Mutex
	commits int
}

func (s *lateStore) Commit(ctx context.Context, txn table.Txn) error {
	s.mu.Lock()
	s.commits++
	late := s.lateEvery > 0 && s.commits%s.lateEvery == 0
	s.mu.Unlock()
	if late {
		time.AfterFunc(lateBy, func() { _ = s.Store.Commit(context.WithoutCancel(ctx), txn) })
		return fmt.Errorf("late: %w", table.ErrUnknown)
	}
	err := s.Store.Commit(ctx, txn)
	select {
	case <-time.After(s.answerDelay):
		return err
	case <-ctx.Done():
		return fmt.Errorf("no answer: %w", table.ErrUnknown)
	}
}

func newKeeper(store table.Store, node string) *Keeper {
	return New(store, SessionRow{Node: node}, testTTL, testRenew, eventlog.Discard())
}

// start runs the keeper until the returned function is called, which models
// a process that is paused: nothing is released.
func start(t *testing.T, k *Keeper) (pause func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { k.Run(ctx) })
	synctest.Wait()
	return func() {
		cancel()
		running.Wait()
	}
}

// poll acquires the duty until it is held or the limit passes.
func poll(t *testing.T, k *Keeper, limit time.Duration, check func()) (Ownership, bool) {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(testPoll) {
		check()
		o, ok, err := k.Acquire(t.Context(), testDuty)
		if err != nil {
			t.Fatal(err)
		}
		if ok {
			return o, true
		}
	}
	return Ownership{}, false
}

func TestPausedHolderWritesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &lateStore{Store: platform.New(platform.Options{}).Table, answerDelay: 2900 * time.Millisecond}
		a, b := newKeeper(store, "a"), newKeeper(store.Store, "b")
		pauseA := start(t, a)
		defer start(t, b)()
		time.Sleep(testRenew)
		old, ok, err := a.Acquire(t.Context(), testDuty)
		if !ok || err != nil {
			t.Fatalf("a did not acquire: %t %v", ok, err)
		}
		if _, ok := poll(t, b, 3*testTTL, func() {}); ok {
			t.Fatal("b took the duty of a live owner")
		}
		time.Sleep(testRenew)
		pauseA()
		next, ok := poll(t, b, 3*testTTL, func() {})
		if !ok {
			t.Fatal("b did not take the duty of a paused owner")
		}
		if _, held := a.Owned(testDuty, time.Now()); held {
			t.Error("both nodes hold the duty")
		}
		if next.Epoch <= old.Epoch {
			t.Errorf("epoch %d does not follow %d", next.Epoch, old.Epoch)
		}
		write := table.Txn{Nonce: "stale", Checks: []table.Check{old.Assertion}, Writes: []table.Write{{Key: "host/h", Value: []byte(`1`)}}}
		if err := store.Store.Commit(t.Context(), write); err == nil {
			t.Error("a write of the former owner was applied")
		}
		defer start(t, a)()
		time.Sleep(testTTL)
		if _, held := a.Owned(testDuty, time.Now()); held {
			t.Error("the former owner holds the duty again after it woke")
		}
		if !a.Valid(time.Now()) {
			t.Error("the former owner has no valid session after it woke")
		}
	})
}

func TestSessionSurvivesLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := platform.New(platform.Options{})
		service.SetFaults(platform.Faults{LoseEvery: 2})
		k := newKeeper(&lateStore{Store: service.Table, lateEvery: 3}, "a")
		defer start(t, k)()
		time.Sleep(testRenew)
		incarnation := k.Incarnation()
		_, held, err := k.Acquire(t.Context(), testDuty)
		for !held {
			time.Sleep(testRenew)
			_, held, err = k.Acquire(t.Context(), testDuty)
		}
		if err != nil {
			t.Fatal(err)
		}
		for range 20 * int(testTTL/testPoll) {
			time.Sleep(testPoll)
			if _, ok := k.Owned(testDuty, time.Now()); !ok || k.Incarnation() != incarnation {
				t.Fatalf("ownership %t, incarnation %d, want %d", ok, k.Incarnation(), incarnation)
			}
		}
	})
}

func TestLeaseLapsesInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := platform.New(platform.Options{})
		k := newKeeper(service.Table, "a")
		defer start(t, k)()
		time.Sleep(testRenew / 2)
		if _, ok, err := k.Acquire(t.Context(), testDuty); !ok || err != nil {
			t.Fatal(ok, err)
		}
		service.SetFaults(platform.Faults{Outage: true})
		time.Sleep(testTTL)
		if _, held := k.Owned(testDuty, time.Now()); held || k.Valid(time.Now()) {
			t.Fatal("the lease holds although no renewal was accepted for its TTL")
		}
		service.SetFaults(platform.Faults{})
		time.Sleep(testRenew)
		if _, held := k.Owned(testDuty, time.Now()); !held {
			t.Error("the duty, which nobody took, is not held after the outage")
		}
	})
}

func TestReleaseHandsOverAndIncarnationGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New(platform.Options{}).Table
		b := newKeeper(store, "b")
		defer start(t, b)()
		last, epoch := int64(0), int64(0)
		for range 3 {
			a := newKeeper(store, "a")
			defer start(t, a)()
			if a.Incarnation() <= last {
				t.Fatalf("incarnation %d does not follow %d", a.Incarnation(), last)
			}
			last = a.Incarnation()
			if err := b.Release(t.Context()); err != nil {
				t.Fatal(err)
			}
			o, ok := poll(t, a, time.Second, func() {})
			if !ok || o.Epoch <= epoch {
				t.Fatalf("acquired %t with epoch %d after %d", ok, o.Epoch, epoch)
			}
			epoch = o.Epoch
			if err := a.Release(t.Context()); err != nil {
				t.Fatal(err)
			}
			if a.Valid(time.Now()) {
				t.Error("the lease is valid after its release")
			}
			time.Sleep(time.Second)
			b = newKeeper(store, "b")
			defer start(t, b)()
			if _, ok := poll(t, b, time.Second, func() {}); !ok {
				t.Fatal("the duty was not handed over at once")
			}
			epoch++
		}
		row, err := store.Get(t.Context(), SessionKey("a"))
		if err != nil || row.Version != 0 {
			t.Errorf("session row of a released node: %+v %v", row, err)
		}
	})
}

// TestSecondProcessOfOneName checks that a node name given twice costs the
// first process its session, and that the new process waits for the lease of
// the old one before it takes its duties.
func TestSecondProcessOfOneName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New(platform.Options{}).Table
		first := newKeeper(store, "a")
		pause := start(t, first)
		if _, ok, err := first.Acquire(t.Context(), testDuty); !ok || err != nil {
			t.Fatal(ok, err)
		}
		pause()
		second := newKeeper(store, "a")
		defer start(t, second)()
		both := func() {
			if _, held := second.Owned(testDuty, time.Now()); held && first.Valid(time.Now()) {
				t.Fatal("both processes hold the duty")
			}
		}
		if _, ok := poll(t, second, 3*testTTL, both); !ok {
			t.Fatal("the new process did not get the duty of the old one")
		}
		both()
	})
}

// TestDutiesSpread lets seven nodes compete for 21 duties; then one joins and
// owners keep what they have.
func TestDutiesSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, duties = 7, 21
		store := platform.New(platform.Options{}).Table
		var keepers []*Keeper
		for i := range nodes {
			k := newKeeper(store, fmt.Sprintf("n%d", i))
			keepers = append(keepers, k)
			defer start(t, k)()
		}
		time.Sleep(testTTL + testRenew)
		compete := func() {
			for range 10 * int(testRenew/time.Second) {
				for _, k := range keepers {
					for d := range duties {
						if duty := fmt.Sprintf("d%d", d); k.Prefers(duty, time.Now()) {
							if _, _, err := k.Acquire(t.Context(), duty); err != nil {
								t.Fatal(err)
							}
						}
					}
				}
				time.Sleep(time.Second)
			}
		}
		compete()
		owners := readOwners(t, store)
		perNode := map[string]int{}
		for _, owner := range owners {
			perNode[owner.Owner]++
		}
		const most = 2 * duties / nodes
		for node, n := range perNode {
			if n > most {
				t.Errorf("node %s owns %d duties, over %d", node, n, most)
			}
		}
		joined := newKeeper(store, "joined")
		keepers = append(keepers, joined)
		defer start(t, joined)()
		compete()
		for duty, owner := range readOwners(t, store) {
			if owner != owners[duty] {
				t.Errorf("%s moved from %+v to %+v although its owner lives", duty, owners[duty], owner)
			}
		}
		if len(owners) != duties {
			t.Errorf("%d duties have owners, want %d", len(owners), duties)
		}
	})
}

func readOwners(t *testing.T, store table.Store) map[string]OwnershipRow {
	rows, err := store.List(t.Context(), table.Range{Prefix: table.PrefixOwnership})
	if err != nil {
		t.Fatal(err)
	}
	owners := map[string]OwnershipRow{}
	for _, row := range rows {
		var o OwnershipRow
		if err := json.Unmarshal(row.Value, &o); err != nil {
			t.Fatal(err)
		}
		owners[o.Duty] = o
	}
	return owners
}
