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
	testTTL           = 10 * time.Second
	testRenewInterval = 3 * time.Second
	testPollInterval  = 250 * time.Millisecond
	testRole          = "groups/hall1"
	// lateCommitDelay is the delay of a commit that takes effect late. It is
	// shorter than the backoff before the renewal is retried.
	lateCommitDelay = testRenewInterval / 10
)

// unreliableStore delays the replies to commits. It reports every lateEvery-th
// commit as table.ErrUnknown, although it takes effect after lateCommitDelay.
type unreliableStore struct {
	table.Store
	replyDelay time.Duration
	lateEvery  int

	mu      sync.Mutex
	commits int
}

func (s *unreliableStore) Commit(ctx context.Context, txn table.Txn) error {
	s.mu.Lock()
	s.commits++
	late := s.lateEvery > 0 && s.commits%s.lateEvery == 0
	s.mu.Unlock()
	if late {
		time.AfterFunc(lateCommitDelay, func() { _ = s.Store.Commit(context.WithoutCancel(ctx), txn) })
		return fmt.Errorf("reply lost, commit takes effect late: %w", table.ErrUnknown)
	}
	err := s.Store.Commit(ctx, txn)
	select {
	case <-time.After(s.replyDelay):
		return err
	case <-ctx.Done():
		return fmt.Errorf("no reply: %w", table.ErrUnknown)
	}
}

func newKeeper(store table.Store, node string) *Keeper {
	return NewKeeper(store, SessionRow{Node: node}, testTTL, testRenewInterval, eventlog.Discard())
}

// start runs the keeper until pause is called. That models a paused process: it
// releases nothing.
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

// acquireWithin calls Acquire until it succeeds or the timeout passes. It calls
// check before each attempt.
func acquireWithin(t *testing.T, k *Keeper, timeout time.Duration, check func()) (Ownership, bool) {
	for started := time.Now(); time.Since(started) < timeout; time.Sleep(testPollInterval) {
		check()
		o, ok, err := k.Acquire(t.Context(), testRole)
		if err != nil {
			t.Fatal(err)
		}
		if ok {
			return o, true
		}
	}
	return Ownership{}, false
}

// TestPausedOwnerWritesNothing verifies that a live owner keeps its role although
// its renewals are answered late, and that after its process was paused another
// node owns the role with a higher epoch and its fenced writes fail.
func TestPausedOwnerWritesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &unreliableStore{Store: platform.New(platform.Options{}).Table, replyDelay: 2900 * time.Millisecond}
		a, b := newKeeper(store, "a"), newKeeper(store.Store, "b")
		pauseA := start(t, a)
		defer start(t, b)()
		time.Sleep(testRenewInterval)
		old, ok, err := a.Acquire(t.Context(), testRole)
		if !ok || err != nil {
			t.Fatalf("a acquires a role without an owner: got %t, %v, want true", ok, err)
		}
		if _, ok := acquireWithin(t, b, 3*testTTL, func() {}); ok {
			t.Fatal("b acquired the role of a live owner")
		}
		time.Sleep(testRenewInterval)
		pauseA()
		next, ok := acquireWithin(t, b, 3*testTTL, func() {})
		if !ok {
			t.Fatal("b did not acquire the role of a paused owner")
		}
		if _, owned := a.Owned(testRole, time.Now()); owned {
			t.Error("the former owner still owns the role")
		}
		if next.Epoch <= old.Epoch {
			t.Errorf("epoch of the new owner: got %d, want above %d", next.Epoch, old.Epoch)
		}
		write := table.Txn{Nonce: "stale", Checks: []table.Check{old.FencingCheck}, Writes: []table.Write{{Key: "host/h", Value: []byte(`1`)}}}
		if err := store.Store.Commit(t.Context(), write); err == nil {
			t.Error("a fenced write of the former owner was committed")
		}
		defer start(t, a)()
		time.Sleep(testTTL)
		if _, owned := a.Owned(testRole, time.Now()); owned {
			t.Error("the former owner owns the role again after it resumed")
		}
		if !a.Valid(time.Now()) {
			t.Error("the former owner has no valid session after it resumed")
		}
	})
}

// TestSessionSurvivesLostReplies verifies that a node keeps its session and its
// role while replies are lost and commits take effect late.
func TestSessionSurvivesLostReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := platform.New(platform.Options{})
		service.SetFaults(platform.Faults{LoseEvery: 2})
		k := newKeeper(&unreliableStore{Store: service.Table, lateEvery: 3}, "a")
		defer start(t, k)()
		time.Sleep(testRenewInterval)
		incarnation := k.Incarnation()
		_, owned, err := k.Acquire(t.Context(), testRole)
		for !owned {
			time.Sleep(testRenewInterval)
			_, owned, err = k.Acquire(t.Context(), testRole)
		}
		if err != nil {
			t.Fatal(err)
		}
		for range 20 * int(testTTL/testPollInterval) {
			time.Sleep(testPollInterval)
			if _, ok := k.Owned(testRole, time.Now()); !ok || k.Incarnation() != incarnation {
				t.Fatalf("got owned %t with incarnation %d, want true with %d", ok, k.Incarnation(), incarnation)
			}
		}
	})
}

func TestLeaseLapsesInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := platform.New(platform.Options{})
		k := newKeeper(service.Table, "a")
		defer start(t, k)()
		time.Sleep(testRenewInterval / 2)
		if _, ok, err := k.Acquire(t.Context(), testRole); !ok || err != nil {
			t.Fatal(ok, err)
		}
		service.SetFaults(platform.Faults{Outage: true})
		time.Sleep(testTTL)
		if _, owned := k.Owned(testRole, time.Now()); owned || k.Valid(time.Now()) {
			t.Fatal("the lease is valid although no renewal succeeded for its TTL")
		}
		service.SetFaults(platform.Faults{})
		time.Sleep(testRenewInterval)
		if _, owned := k.Owned(testRole, time.Now()); !owned {
			t.Error("the role is not owned after the outage, although no other node took it")
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
				t.Fatalf("incarnation: got %d, want above %d", a.Incarnation(), last)
			}
			last = a.Incarnation()
			if err := b.Release(t.Context()); err != nil {
				t.Fatal(err)
			}
			o, ok := acquireWithin(t, a, time.Second, func() {})
			if !ok || o.Epoch <= epoch {
				t.Fatalf("got owned %t at epoch %d, want true above epoch %d", ok, o.Epoch, epoch)
			}
			epoch = o.Epoch
			if err := a.Release(t.Context()); err != nil {
				t.Fatal(err)
			}
			if a.Valid(time.Now()) {
				t.Error("the lease is still valid after its release")
			}
			time.Sleep(time.Second)
			b = newKeeper(store, "b")
			defer start(t, b)()
			if _, ok := acquireWithin(t, b, time.Second, func() {}); !ok {
				t.Fatal("a released role could not be acquired within 1s")
			}
			epoch++
		}
		row, err := store.Get(t.Context(), SessionKey("a"))
		if err != nil || row.Version != 0 {
			t.Errorf("session row of a released node: got %+v, error %v, want no row", row, err)
		}
	})
}

// TestSecondProcessWithSameNodeName verifies that a second process with the node
// name of the first acquires the role of the first only after the lease of the
// first has lapsed.
func TestSecondProcessWithSameNodeName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New(platform.Options{}).Table
		first := newKeeper(store, "a")
		pause := start(t, first)
		if _, ok, err := first.Acquire(t.Context(), testRole); !ok || err != nil {
			t.Fatal(ok, err)
		}
		pause()
		second := newKeeper(store, "a")
		defer start(t, second)()
		checkNotBoth := func() {
			if _, owned := second.Owned(testRole, time.Now()); owned && first.Valid(time.Now()) {
				t.Fatal("the new process owns the role while the lease of the old one is valid")
			}
		}
		if _, ok := acquireWithin(t, second, 3*testTTL, checkNotBoth); !ok {
			t.Fatal("the new process did not acquire the role of the old one")
		}
		checkNotBoth()
	})
}

// TestRolesSpread verifies that 21 roles spread over seven nodes, and that no role
// moves from a live owner when another node joins.
func TestRolesSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, roles = 7, 21
		store := platform.New(platform.Options{}).Table
		var keepers []*Keeper
		for i := range nodes {
			k := newKeeper(store, fmt.Sprintf("n%d", i))
			keepers = append(keepers, k)
			defer start(t, k)()
		}
		time.Sleep(testTTL + testRenewInterval)
		compete := func() {
			for range 10 * int(testRenewInterval/time.Second) {
				for _, k := range keepers {
					for r := range roles {
						if role := fmt.Sprintf("d%d", r); k.ShouldAcquire(role, time.Now()) {
							if _, _, err := k.Acquire(t.Context(), role); err != nil {
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
		const maxRolesPerNode = 2 * roles / nodes
		for node, n := range perNode {
			if n > maxRolesPerNode {
				t.Errorf("roles of node %s: got %d, want at most %d", node, n, maxRolesPerNode)
			}
		}
		joined := newKeeper(store, "joined")
		keepers = append(keepers, joined)
		defer start(t, joined)()
		compete()
		for role, owner := range readOwners(t, store) {
			if owner != owners[role] {
				t.Errorf("%s moved from %+v to %+v although its owner is live", role, owners[role], owner)
			}
		}
		if len(owners) != roles {
			t.Errorf("roles with an owner: got %d, want %d", len(owners), roles)
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
		owners[o.Role] = o
	}
	return owners
}
