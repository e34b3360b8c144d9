package capacity

import (
	"context"
	"encoding/json"
	"sync"

	"currantladder.example/currantladder/internal/connection/table"
)

// headerBytes is the size of the HTTP headers of one call and its answer.
const headerBytes = 330

// Store counts the calls of a table.Store and the bytes that they take as
// JSON over HTTP.
type Store struct {
	table.Store

	mu    sync.Mutex
	usage Usage
}

// Usage sums calls. Bytes are sent plus received.
type Usage struct {
	Reads, Rows, Commits, Bytes int64
}

// Usage returns the calls so far.
func (s *Store) Usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usage
}

// Reset forgets the calls so far.
func (s *Store) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage = Usage{}
}

func (s *Store) add(u Usage, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage.Reads += u.Reads
	s.usage.Rows += u.Rows
	s.usage.Commits += u.Commits
	s.usage.Bytes += headerBytes + int64(len(data))
}

// Get implements table.Store.
func (s *Store) Get(ctx context.Context, key string) (table.Row, error) {
	row, err := s.Store.Get(ctx, key)
	s.add(Usage{Reads: 1, Rows: 1}, row)
	return row, err
}

// List implements table.Store.
func (s *Store) List(ctx context.Context, r table.Range) ([]table.Row, error) {
	rows, err := s.Store.List(ctx, r)
	s.add(Usage{Reads: 1, Rows: int64(len(rows))}, rows)
	return rows, err
}

// Commit implements table.Store.
func (s *Store) Commit(ctx context.Context, txn table.Txn) error {
	s.add(Usage{Commits: 1}, txn)
	return s.Store.Commit(ctx, txn)
}
