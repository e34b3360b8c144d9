package configlog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
)

// fakeStore is a table service in memory with faults.
type fakeStore struct {
	mu       sync.Mutex
	rows     map[string]table.Row
	random   *rand.Rand
	down     bool
	latency  time.Duration
	lossRate float64
	commits  int
}

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{rows: make(map[string]table.Row), random: rand.New(rand.NewPCG(seed, 0))}
}

func (f *fakeStore) set(change func(*fakeStore)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// begin waits for the latency and fails during an outage.
func (f *fakeStore) begin(ctx context.Context) error {
	f.mu.Lock()
	latency, down := f.latency, f.down
	if latency > 0 {
		latency += time.Duration(f.random.Int64N(int64(latency)))
	}
	f.mu.Unlock()
	if latency > 0 && sleep(ctx, latency) != nil {
		return fmt.Errorf("fake: %w", table.ErrUnavailable)
	}
	if down {
		return fmt.Errorf("fake: %w", table.ErrUnavailable)
	}
	return nil
}

func (f *fakeStore) Get(ctx context.Context, key string) (table.Row, error) {
	if err := f.begin(ctx); err != nil {
		return table.Row{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	row := f.rows[key]
	row.Key = key
	return row, nil
}

func (f *fakeStore) List(ctx context.Context, r table.Range) ([]table.Row, error) {
	if err := f.begin(ctx); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []table.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, r.Prefix) && key >= r.From && (r.To == "" || key < r.To) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if r.Limit > 0 {
		rows = rows[:min(len(rows), r.Limit)]
	}
	return rows, nil
}

func (f *fakeStore) Commit(ctx context.Context, txn table.Txn) error {
	if err := f.begin(ctx); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	draw := f.random.Float64()
	if draw < f.lossRate/2 {
		return fmt.Errorf("fake: request lost: %w", table.ErrUnknown)
	}
	if err := f.apply(txn); err != nil {
		return err
	}
	if draw < f.lossRate {
		return fmt.Errorf("fake: answer lost: %w", table.ErrUnknown)
	}
	return nil
}

func (f *fakeStore) apply(txn table.Txn) error {
	var conflicts []string
	for _, check := range txn.Checks {
		if f.rows[check.Key].Version != check.Version {
			conflicts = append(conflicts, check.Key)
		}
	}
	for _, write := range txn.Writes {
		if f.rows[write.Key].Version != write.Expect {
			conflicts = append(conflicts, write.Key)
		}
	}
	if len(conflicts) > 0 {
		return &table.ConflictError{Keys: conflicts}
	}
	f.commits++
	for _, write := range txn.Writes {
		if write.Delete {
			delete(f.rows, write.Key)
			continue
		}
		f.rows[write.Key] = table.Row{Key: write.Key, Version: write.Expect + 1, Value: write.Value, Nonce: txn.Nonce}
	}
	return nil
}
