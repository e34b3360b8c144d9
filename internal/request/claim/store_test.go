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

// withStore runs a test over one store of claims in virtual time.
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

func call(key string) Call {
	return Call{Service: "loans", Account: "a", Key: key, Fingerprint: 7}
}

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
				if taken := i == 0; taken != (refused != nil) || taken != (outcome.Ticket == nil) {
					t.Errorf("k%d: %+v, %v", i, outcome, refused)
				}
			})
		}
		group.Wait()
		if commits := p.Table.Commits() - before; commits != 1 {
			t.Errorf("31 claims beside a taken one took %d transactions, want 1", commits)
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
		if err := s.Record(ctx, outcome.Ticket, Answer{Status: http.StatusOK, Body: make([]byte, MaxAnswerBytes+1)}); err != nil {
			t.Fatal(err)
		}
		outcome, refused := s.Begin(ctx, call("k"))
		if refused == nil || refused.Ran != refusal.RanUnknown || outcome.Ticket != nil {
			t.Errorf("got %+v, %v", outcome, refused)
		}
	})
}

func TestUnsettledClaimIsReleased(t *testing.T) {
	withStore(t, func(ctx context.Context, p *platform.Platform, s *Store) {
		p.SetFaults(platform.Faults{LoseEvery: 1})
		short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		defer cancel()
		time.AfterFunc(25*time.Millisecond, func() { p.SetFaults(platform.Faults{Pause: true}) })
		outcome, refused := s.Begin(short, call("k"))
		if outcome.Ticket != nil || refused.Ran != refusal.RanUnknown {
			t.Fatalf("got %+v, %v", outcome, refused)
		}
		p.SetFaults(platform.Faults{})
		time.Sleep(15 * time.Second)
		if outcome, refused := s.Begin(ctx, call("k")); outcome.Ticket == nil {
			t.Errorf("the key is still taken: %v", refused)
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
			t.Fatalf("%d claims left before the retention ended, want 40", n)
		}
		time.Sleep(time.Hour + 2*sweepPeriod)
		if n := len(claimRows(t, p)); n != 0 {
			t.Errorf("%d claims left after the retention, want 0", n)
		}
	})
}

func claimRows(t *testing.T, p *platform.Platform) []table.Row {
	t.Helper()
	rows, err := p.Table.List(context.Background(), table.Range{Prefix: table.PrefixClaim})
	if err != nil {
		t.Fatal(err)
	}
	return rows
}
