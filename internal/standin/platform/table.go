package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"golang.org/x/time/rate"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/standin/jsonhttp"
)

// errRateLimited reports a call that a rate limit refused.
var errRateLimited = fmt.Errorf("%w: rate limit reached; send fewer calls a second", table.ErrUnavailable)

// errOutage reports a call that was refused during an injected outage.
var errOutage = fmt.Errorf("%w: outage", table.ErrUnavailable)

// errInvalid reports a malformed call.
var errInvalid = errors.New("invalid call")

// Table is an in-memory table service. It implements table.Store and
// table.SingleCallStore, and starts no goroutines.
type Table struct {
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
	pageLimit    int
	faults       *faultState

	mu      sync.Mutex
	records map[string]*record
	commits int64
}

// record is a row. A deleted row stays as a record with its last version, from
// which the versions continue if the key is written again.
type record struct {
	row     table.Row
	version table.Version
	deleted bool
}

// Commits returns the number of transactions that were applied.
func (t *Table) Commits() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
}

// Get implements table.Store and table.SingleCallStore.
func (t *Table) Get(ctx context.Context, key string) (table.Row, error) {
	if err := t.admitRead(ctx); err != nil {
		return table.Row{}, fmt.Errorf("row %s: %w", key, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.row(key), nil
}

// List implements table.Store.
func (t *Table) List(ctx context.Context, r table.Range) ([]table.Row, error) {
	return table.ListAll(ctx, t, r)
}

// Commit implements table.Store.
func (t *Table) Commit(ctx context.Context, txn table.Txn) error {
	return table.CommitWithRetry(ctx, t, txn)
}

// Rows implements table.SingleCallStore.
func (t *Table) Rows(ctx context.Context, r table.Range) (table.RowList, error) {
	if err := t.admitRead(ctx); err != nil {
		return table.RowList{}, fmt.Errorf("rows %s: %w", r.Prefix, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.page(r), nil
}

// TryCommit implements table.SingleCallStore.
func (t *Table) TryCommit(ctx context.Context, txn table.Txn) (table.CommitResult, error) {
	result, err := t.commitOnce(ctx, txn)
	if err == nil && result.Committed && t.faults.losesReply() {
		return table.CommitResult{}, fmt.Errorf("transaction %s: %w: the reply was lost", txn.Nonce, table.ErrUnknown)
	}
	return result, err
}

// commitOnce applies the transaction unless a row has another version than
// expected. It loses no replies.
func (t *Table) commitOnce(ctx context.Context, txn table.Txn) (table.CommitResult, error) {
	if err := validate(txn); err != nil {
		return table.CommitResult{}, fmt.Errorf("transaction %s: %w", txn.Nonce, err)
	}
	if err := t.faults.gate.Pass(ctx); err != nil {
		return table.CommitResult{}, fmt.Errorf("transaction %s: %w: no reply: %w", txn.Nonce, table.ErrUnknown, err)
	}
	if t.faults.get().Outage {
		return table.CommitResult{}, fmt.Errorf("transaction %s: %w", txn.Nonce, errOutage)
	}
	if !t.writeLimiter.Allow() {
		return table.CommitResult{}, fmt.Errorf("transaction %s: %w", txn.Nonce, errRateLimited)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if conflicts := t.conflicts(txn); len(conflicts) > 0 {
		return table.CommitResult{Conflicts: conflicts}, nil
	}
	t.apply(txn)
	return table.CommitResult{Committed: true}, nil
}

// validate refuses transactions whose meaning is unclear: those without a nonce
// and those that write an empty key or a key twice.
func validate(txn table.Txn) error {
	if txn.Nonce == "" {
		return fmt.Errorf("%w: the nonce is empty", errInvalid)
	}
	seen := map[string]bool{}
	for _, write := range txn.Writes {
		if write.Key == "" || seen[write.Key] {
			return fmt.Errorf("%w: write key %q is empty or repeated", errInvalid, write.Key)
		}
		seen[write.Key] = true
	}
	return nil
}

// admitRead applies the faults and the read limit to one call.
func (t *Table) admitRead(ctx context.Context) error {
	if err := t.faults.gate.Pass(ctx); err != nil {
		return fmt.Errorf("%w: no reply: %w", table.ErrUnavailable, err)
	}
	if t.faults.get().Outage {
		return errOutage
	}
	if !t.readLimiter.Allow() {
		return errRateLimited
	}
	return nil
}

// row returns the stored row, or an absent one. The caller holds mu.
func (t *Table) row(key string) table.Row {
	if r := t.records[key]; r != nil && !r.deleted {
		return r.row
	}
	return table.Row{Key: key}
}

// conflicts returns the keys of the rows whose version is not the expected one.
// The caller holds mu.
func (t *Table) conflicts(txn table.Txn) []string {
	var keys []string
	for _, check := range txn.Checks {
		if t.row(check.Key).Version != check.Version {
			keys = append(keys, check.Key)
		}
	}
	for _, write := range txn.Writes {
		if t.row(write.Key).Version != write.Expect {
			keys = append(keys, write.Key)
		}
	}
	return keys
}

// apply executes the writes of a transaction. The caller holds mu.
func (t *Table) apply(txn table.Txn) {
	t.commits++
	for _, write := range txn.Writes {
		r := t.records[write.Key]
		if r == nil {
			r = &record{}
			t.records[write.Key] = r
		}
		r.version++
		r.deleted = write.Delete
		r.row = table.Row{Key: write.Key, Version: r.version, Value: slices.Clone(write.Value), Nonce: txn.Nonce}
	}
}

// page returns the rows of the range, up to pageLimit and the limit of r. The
// caller holds mu.
func (t *Table) page(r table.Range) table.RowList {
	limit := t.pageLimit
	if r.Limit > 0 {
		limit = min(limit, r.Limit)
	}
	var keys []string
	for key, rec := range t.records {
		if !rec.deleted && inRange(key, r) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	list := table.RowList{Rows: []table.Row{}, More: len(keys) > limit}
	for _, key := range keys[:min(limit, len(keys))] {
		list.Rows = append(list.Rows, t.row(key))
	}
	return list
}

func inRange(key string, r table.Range) bool {
	if !strings.HasPrefix(key, r.Prefix) || key < r.From {
		return false
	}
	return r.To == "" || key < r.To
}

func (t *Table) handleCommit(w http.ResponseWriter, r *http.Request) {
	var txn table.Txn
	if !jsonhttp.Read(w, r, &txn) {
		return
	}
	ctx := r.Context()
	if t.faults.get().LateCommits {
		ctx = context.WithoutCancel(ctx)
	}
	result, err := t.TryCommit(ctx, txn)
	if err != nil {
		writeError(w, err)
		return
	}
	jsonhttp.Write(w, http.StatusOK, result)
}

func (t *Table) handleRow(w http.ResponseWriter, r *http.Request) {
	row, err := t.Get(r.Context(), r.URL.Query().Get("key"))
	if err != nil {
		writeError(w, err)
		return
	}
	jsonhttp.Write(w, http.StatusOK, row)
}

func (t *Table) handleRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil && query.Get("limit") != "" {
		jsonhttp.Fail(w, http.StatusBadRequest, "limit: "+err.Error())
		return
	}
	list, err := t.Rows(r.Context(), table.Range{Prefix: query.Get("prefix"), From: query.Get("from"), To: query.Get("to"), Limit: limit})
	if err != nil {
		writeError(w, err)
		return
	}
	jsonhttp.Write(w, http.StatusOK, list)
}

// writeError sends an error response, or aborts the connection if the outcome
// of the call is unknown.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, table.ErrUnknown):
		jsonhttp.Abort()
	case errors.Is(err, errRateLimited):
		jsonhttp.Fail(w, http.StatusTooManyRequests, err.Error())
	case errors.Is(err, errInvalid):
		jsonhttp.Fail(w, http.StatusBadRequest, err.Error())
	default:
		jsonhttp.Fail(w, http.StatusServiceUnavailable, err.Error())
	}
}
