package claim

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/standin/platform"
)

// withStore runs a test with a running Store in virtual time.
func withStore(t *testing.T, test func(ctx context.Context, p *platform.Platform, s *Store)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		p := platform.New(platform.Options{})
		s := New(p.Table, Options{})
		var group sync.WaitGroup
		group.Go(func() { s.Run(ctx) })
		test(ctx, p, s)
		cancel()
		group.Wait()
	})
}

// call returns a call with the given idempotency key.
func call(key string) Call {
	return Call{Service: "loans", Account: "a", Key: key, Fingerprint: 7}
}

// TestBatchSharesTransactions verifies that concurrent claims share one
// transaction, and that a key claimed earlier does not fail the others.
func TestBatchSharesTransactions(t *testing.T) {
	withStore(t, func(ctx context.Context, p *platform.Platform, s *Store) {
		if _, refused := s.Begin(ctx, call("k0")); refused != nil {
			t.Fatal(refused)
		}
		before := p.Table.Commits()
		var group sync.WaitGroup
		for i := range 32 {
			group.Go(func() {
				outcome, refused := s.Begin(ctx, call(fmt.Sprint("k", i)))
				if conflict := i == 0; conflict != (refused != nil) || conflict != (outcome.Handle == nil) {
					t.Errorf("k%d: got %+v, %v; want a refusal for k0 and a handle for others", i, outcome, refused)
				}
			})
		}
		group.Wait()
		if commits := p.Table.Commits() - before; commits != 1 {
			t.Errorf("got %d transactions for 31 claims and a conflicting one, want 1", commits)
		}
	})
}

func TestKeyOfAnotherCallIsBadRequest(t *testing.T) {
	withStore(t, func(ctx context.Context, _ *platform.Platform, s *Store) {
		if _, refused := s.Begin(ctx, call("k")); refused != nil {
			t.Fatal(refused)
		}
		other := call("k")
		other.Fingerprint++
		_, refused := s.Begin(ctx, other)
		if refused == nil || refused.Kind != refusal.KindBadRequest {
			t.Errorf("got %v, want %s", refused, refusal.KindBadRequest)
		}
	})
}

func TestLargeAnswerIsNotKept(t *testing.T) {
	withStore(t, func(ctx context.Context, _ *platform.Platform, s *Store) {
		outcome, _ := s.Begin(ctx, call("k"))
		if err := s.Record(ctx, outcome.Handle, Answer{Status: http.StatusOK, Body: make([]byte, MaxAnswerBytes+1)}); err != nil {
			t.Fatal(err)
		}
		outcome, refused := s.Begin(ctx, call("k"))
		if refused == nil || refused.Ran != refusal.RanUnknown || outcome.Handle != nil {
			t.Errorf("got %+v, %v; want a refusal with ran: unknown and no handle", outcome, refused)
		}
	})
}

// TestUnconfirmedClaimIsRemoved verifies that a claim whose insertion was not
// confirmed, because the answer was lost and the table service then paused, is
// removed in the background.
func TestUnconfirmedClaimIsRemoved(t *testing.T) {
	withStore(t, func(ctx context.Context, p *platform.Platform, s *Store) {
		p.SetFaults(platform.Faults{LoseEvery: 1})
		short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		defer cancel()
		time.AfterFunc(25*time.Millisecond, func() { p.SetFaults(platform.Faults{Pause: true}) })
		outcome, refused := s.Begin(short, call("k"))
		if outcome.Handle != nil || refused.Ran != refusal.RanUnknown {
			t.Fatalf("got %+v, %v; want a refusal with ran: unknown and no handle", outcome, refused)
		}
		p.SetFaults(platform.Faults{})
		time.Sleep(15 * time.Second)
		if outcome, refused := s.Begin(ctx, call("k")); outcome.Handle == nil {
			t.Errorf("got %v for the key of the unconfirmed claim, want a handle", refused)
		}
	})
}

func TestSweepDeletesOldClaims(t *testing.T) {
	withStore(t, func(ctx context.Context, p *platform.Platform, s *Store) {
		for i := range 40 {
			if _, refused := s.Begin(ctx, call(fmt.Sprint(i))); refused != nil {
				t.Fatal(refused)
			}
		}
		time.Sleep(DefaultRetention - time.Hour)
		if n := len(claimRows(t, p)); n != 40 {
			t.Fatalf("got %d claims before the end of the retention, want 40", n)
		}
		time.Sleep(time.Hour + 2*sweepInterval)
		if n := len(claimRows(t, p)); n != 0 {
			t.Errorf("got %d claims after the retention, want 0", n)
		}
	})
}

// claimRows lists all claim rows.
func claimRows(t *testing.T, p *platform.Platform) []table.Row {
	t.Helper()
	rows, err := p.Table.List(context.Background(), table.Range{Prefix: table.PrefixClaim})
	if err != nil {
		t.Fatal(err)
	}
	return rows
}
