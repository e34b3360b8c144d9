package capacity

import (
	"context"
	"encoding/json"
	"sync"

	"currantladder.example/currantladder/internal/connection/table"
)

// headerBytesPerCall is the total size of the HTTP headers of one request and
// its response.
const headerBytesPerCall = 330

// CountingStore counts the calls of a table.Store and the bytes that they take as
// JSON over HTTP.
type CountingStore struct {
	table.Store

	mu    sync.Mutex
	usage Usage
}

// Usage is the sum of the calls to a CountingStore. Rows counts the rows that
// were read, Bytes the bytes sent plus received.
type Usage struct {
	Reads, Rows, Commits, Bytes int64
}

// Usage returns the usage since the start or the last Reset.
func (s *CountingStore) Usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usage
}

// Reset sets the usage to zero.
func (s *CountingStore) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage = Usage{}
}

// record adds one call, whose body or result is encoded as JSON to get its size.
func (s *CountingStore) record(u Usage, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage.Reads += u.Reads
	s.usage.Rows += u.Rows
	s.usage.Commits += u.Commits
	s.usage.Bytes += headerBytesPerCall + int64(len(data))
}

// Get implements table.Store.
func (s *CountingStore) Get(ctx context.Context, key string) (table.Row, error) {
	row, err := s.Store.Get(ctx, key)
	s.record(Usage{Reads: 1, Rows: 1}, row)
	return row, err
}

// List implements table.Store.
func (s *CountingStore) List(ctx context.Context, r table.Range) ([]table.Row, error) {
	rows, err := s.Store.List(ctx, r)
	s.record(Usage{Reads: 1, Rows: int64(len(rows))}, rows)
	return rows, err
}

// Commit implements table.Store.
func (s *CountingStore) Commit(ctx context.Context, txn table.Txn) error {
	s.record(Usage{Commits: 1}, txn)
	return s.Store.Commit(ctx, txn)
}
