package configlog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/standin/platform"
	"currantladder.example/currantladder/internal/version/object"
)

// newRank returns a valid rank.
func newRank(name string, queueBound int) *object.Object {
	return &object.Object{
		Kind:     object.KindRank,
		Metadata: object.Metadata{Name: name},
		Spec:     &object.RankSpec{FirstTokenTargetMillis: 670, InterTokenTargetMillis: 27, QueueBound: queueBound, MaxAttempts: 2, Objective: 0.9},
	}
}

// newAccount returns a client account whose only key hash repeats the given hex
// digit.
func newAccount(name, keyHash string, ranks ...string) *object.Object {
	return &object.Object{
		Kind:     object.KindClientAccount,
		Metadata: object.Metadata{Name: name},
		Spec: &object.ClientAccountSpec{KeyHashes: []string{strings.Repeat(keyHash, 64)}, Ranks: ranks,
			TokensPerSecond: 100, BurstTokens: 100, MaxInFlight: 2, Class: object.AccountSmall},
	}
}

// proposalOf returns a proposal that writes the objects.
func proposalOf(objects ...*object.Object) Proposal {
	p := Proposal{Author: "operator"}
	for _, o := range objects {
		p.Changes = append(p.Changes, object.Change{Object: o})
	}
	return p
}

func mustPropose(t *testing.T, a *Acceptor, p Proposal) object.Record {
	t.Helper()
	record, err := a.Propose(context.Background(), p)
	if err != nil {
		t.Fatal(err)
	}
	return record
}

func TestProposeVersionsAndGenerations(t *testing.T) {
	a := NewAcceptor(platform.New(platform.Options{}).Table, eventlog.Discard())
	first := mustPropose(t, a, proposalOf(newRank("urgent", 5)))
	same := mustPropose(t, a, proposalOf(newRank("urgent", 5)))
	if same.Revision != first.Revision || len(same.Changes) != 0 {
		t.Errorf("identical object: got revision %d with %d changes, want revision %d with none", same.Revision, len(same.Changes), first.Revision)
	}
	second := mustPropose(t, a, proposalOf(newRank("urgent", 6)))
	if got := second.Changes[0].Object.Metadata; got.Generation != 2 || got.ResourceVersion != 2 {
		t.Errorf("got %+v, want generation 2 at resource version 2", got)
	}
	stale := newRank("urgent", 7)
	stale.Metadata.ResourceVersion = 1
	_, err := a.Propose(context.Background(), proposalOf(stale))
	var version *VersionError
	var conflict *table.ConflictError
	if !errors.As(err, &version) || version.Current != 2 || !errors.As(err, &conflict) {
		t.Errorf("stale write: got %v, want a conflict that names version 2", err)
	}
	deletion := Proposal{Changes: []object.Change{{Deleted: &object.Key{Kind: object.KindRank, Name: "urgent"}, ResourceVersion: 1}}}
	if _, err := a.Propose(context.Background(), deletion); !errors.As(err, &version) {
		t.Errorf("stale deletion: got %v, want a conflict", err)
	}
	deletion.Changes[0].ResourceVersion = 2
	deletion.DryRun = true
	mustPropose(t, a, deletion)
	deletion.DryRun = false
	if record := mustPropose(t, a, deletion); record.Revision != 3 {
		t.Errorf("deletion after a dry run: got revision %d, want 3", record.Revision)
	}
}

func TestProposeListsInvalidFieldsAcrossObjects(t *testing.T) {
	a := NewAcceptor(platform.New(platform.Options{}).Table, eventlog.Discard())
	mustPropose(t, a, proposalOf(newAccount("nurse", "a", "urgent"), newRank("urgent", 5)))
	high, low := newRank("high", 5), newRank("low", 5)
	high.Spec.(*object.RankSpec).FloorShare = 0.6
	low.Spec.(*object.RankSpec).FloorShare = 0.4
	p := proposalOf(high, low, newAccount("captain", "a", "digest"), newRank("Bad", 5))
	p.Changes = append(p.Changes, object.Change{Deleted: &object.Key{Kind: object.KindRank, Name: "urgent"}})
	_, err := a.Propose(context.Background(), p)
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v, want an InvalidError", err)
	}
	for _, want := range []string{"Rank/Bad metadata.name", `names rank "digest"`, `names rank "urgent"`, "already a key of ClientAccount/captain", "sums to 1 over all ranks"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("fault %q is missing from: %v", want, err)
		}
	}
	if len(invalid.FieldErrors) != 5 {
		t.Errorf("got %d field errors, want 5: %v", len(invalid.FieldErrors), invalid.FieldErrors)
	}
}

func TestProposeChecksAndWritesAreOneTransaction(t *testing.T) {
	store := platform.New(platform.Options{}).Table
	a := NewAcceptor(store, eventlog.Discard())
	placement := &object.Placement{Group: "g", Generation: 1, Members: []string{"h1"}, Phase: object.PhaseLoading}
	p := Proposal{Author: "controller", Changes: []object.Change{{Placement: placement}},
		Writes: []table.Write{{Key: table.PrefixHost + "h1", Value: []byte(`{}`)}},
		Checks: []table.Check{{Key: table.PrefixOwnership + "d", Version: 1}}}
	var conflict *table.ConflictError
	if _, err := a.Propose(context.Background(), p); !errors.As(err, &conflict) || store.Commits() != 0 {
		t.Fatalf("lost ownership: got %v with %d commits, want a conflict and no commit", err, store.Commits())
	}
	p.Checks = nil
	mustPropose(t, a, p)
	other := *placement
	other.Members = []string{"h2"}
	p = Proposal{Changes: []object.Change{{Placement: &other}}}
	if _, err := a.Propose(context.Background(), p); !errors.As(err, &conflict) {
		t.Errorf("other members at the same generation: got %v, want a conflict", err)
	}
}

// lossyStore returns table.ErrUnknown for half of the commits: for a quarter the
// request is lost, for another quarter the reply.
type lossyStore struct {
	*platform.Table
	random *rand.Rand
}

func (s *lossyStore) Commit(ctx context.Context, txn table.Txn) error {
	outcome := s.random.IntN(4)
	if outcome == 0 {
		return fmt.Errorf("request lost: %w", table.ErrUnknown)
	}
	err := s.Table.Commit(ctx, txn)
	if outcome == 1 {
		return fmt.Errorf("reply lost: %w", table.ErrUnknown)
	}
	return err
}

// TestProposeResolvesLostReplies verifies that a proposal whose request or reply
// was lost is committed exactly once, at the revision that Propose returns.
func TestProposeResolvesLostReplies(t *testing.T) {
	for seed := range uint64(20) {
		store := &lossyStore{Table: platform.New(platform.Options{}).Table, random: rand.New(rand.NewPCG(seed, 0))}
		a := NewAcceptor(store, eventlog.Discard())
		for queueBound := 1; queueBound <= 5; queueBound++ {
			record, err := a.Propose(context.Background(), proposalOf(newRank("urgent", queueBound)))
			if errors.Is(err, table.ErrUnknown) {
				continue
			}
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if got := record.Changes[0].Object.Metadata.ResourceVersion; got != record.Revision || store.Commits() != record.Revision {
				t.Fatalf("seed %d: got revision %d, resource version %d and %d commits, want all equal", seed, record.Revision, got, store.Commits())
			}
		}
	}
}
