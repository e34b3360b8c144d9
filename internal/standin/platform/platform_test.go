package platform

import (
	"context"
	"testing"
	"testing/synctest"

	"currantladder.example/currantladder/internal/connection/table"
)

var (
	_ table.Store = (*Table)(nil)
	_ table.Raw   = (*Table)(nil)
)

func TestLostAnswerIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{})
		p.SetFaults(Faults{LoseNext: 1})
		txn := table.Txn{Nonce: "n1", Writes: []table.Write{{Key: "a", Value: []byte("1")}}}
		if err := p.Table.Commit(context.Background(), txn); err != nil {
			t.Fatal(err)
		}
		if got := p.Table.Commits(); got != 1 {
			t.Errorf("applied %d times, want 1", got)
		}
	})
}
