package table

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// fakeStore returns the scripted results of commits in order, the last one for
// all further commits, and reads rows from a map.
type fakeStore struct {
	results []error // nil means a conflict
	rows    map[string]Row
}

func (s *fakeStore) Get(_ context.Context, key string) (Row, error) { return s.rows[key], nil }

func (s *fakeStore) Rows(context.Context, Range) (RowList, error) { return RowList{}, nil }

func (s *fakeStore) TryCommit(context.Context, Txn) (CommitResult, error) {
	err := s.results[0]
	if len(s.results) > 1 {
		s.results = s.results[1:]
	}
	return CommitResult{Conflicts: []string{"a"}}, err
}

// TestCommitWithRetry verifies the result of a commit whose responses are lost,
// refused or a conflict, against the row that is read back.
func TestCommitWithRetry(t *testing.T) {
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
		"conflict on first send":                     {results: []error{nil}, rows: row(2, mine), want: conflict},
		"refused on first send":                      {results: []error{ErrUnavailable}, want: ErrUnavailable},
		"lost response, own nonce":                   {results: []error{ErrUnknown, nil}, rows: row(2, mine)},
		"lost response, refused, own nonce":          {results: []error{ErrUnknown, ErrUnavailable, nil}, rows: row(2, mine)},
		"lost request, row as expected":              {results: []error{ErrUnknown, nil}, rows: row(1, other), want: conflict},
		"lost request, other wrote next version":     {results: []error{ErrUnknown, nil}, rows: row(2, other), want: conflict},
		"row overwritten since":                      {results: []error{ErrUnknown, nil}, rows: row(3, other), want: ErrUnknown},
		"row deleted since":                          {results: []error{ErrUnknown, nil}, want: ErrUnknown},
		"no response until deadline":                 {results: []error{ErrUnknown}, want: ErrUnknown},
		"lost response, then refused until deadline": {results: []error{ErrUnknown, ErrUnavailable}, want: ErrUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				err := CommitWithRetry(ctx, &fakeStore{results: c.results, rows: c.rows}, Txn{Nonce: mine, Writes: []Write{{Key: "a", Expect: 1}}})
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
