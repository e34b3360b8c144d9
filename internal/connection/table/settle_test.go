package table

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// scriptedRaw answers commits from a script, the last entry again and again,
// and reads from a map.
type scriptedRaw struct {
	results []error // nil is a conflict
	rows    map[string]Row
}

func (s *scriptedRaw) Get(_ context.Context, key string) (Row, error) { return s.rows[key], nil }

func (s *scriptedRaw) Rows(context.Context, Range) (RowList, error) { return RowList{}, nil }

func (s *scriptedRaw) TryCommit(context.Context, Txn) (CommitResult, error) {
	err := s.results[0]
	if len(s.results) > 1 {
		s.results = s.results[1:]
	}
	return CommitResult{Conflicts: []string{"a"}}, err
}

func TestSettle(t *testing.T) {
	const mine, other = "mine", "other"
	row := func(version Version, nonce string) map[string]Row {
		return map[string]Row{"a": {Key: "a", Version: version, Nonce: nonce}}
	}
	conflict := &ConflictError{}
	for name, c := range map[string]struct {
		results []error
		rows    map[string]Row
		want    error // nil means applied
	}{
		"conflict at once":                       {results: []error{nil}, rows: row(2, mine), want: conflict},
		"refused at once":                        {results: []error{ErrUnavailable}, want: ErrUnavailable},
		"lost answer, own nonce":                 {results: []error{ErrUnknown, nil}, rows: row(2, mine)},
		"lost answer, refused, own nonce":        {results: []error{ErrUnknown, ErrUnavailable, nil}, rows: row(2, mine)},
		"lost request, row as expected":          {results: []error{ErrUnknown, nil}, rows: row(1, other), want: conflict},
		"lost request, other wrote next version": {results: []error{ErrUnknown, nil}, rows: row(2, other), want: conflict},
		"written again since":                    {results: []error{ErrUnknown, nil}, rows: row(3, other), want: ErrUnknown},
		"deleted since":                          {results: []error{ErrUnknown, nil}, want: ErrUnknown},
		"never answered":                         {results: []error{ErrUnknown}, want: ErrUnknown},
		"lost answer, then refused to the end":   {results: []error{ErrUnknown, ErrUnavailable}, want: ErrUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				err := Settle(ctx, &scriptedRaw{results: c.results, rows: c.rows}, Txn{Nonce: mine, Writes: []Write{{Key: "a", Expect: 1}}})
				var gotConflict *ConflictError
				switch {
				case c.want == nil && err != nil,
					c.want == conflict && !errors.As(err, &gotConflict),
					c.want != nil && c.want != conflict && !errors.Is(err, c.want):
					t.Errorf("got %v, want %v", err, c.want)
				}
			})
		})
	}
}
