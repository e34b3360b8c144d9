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

// errLimited is the refusal of a rate limit.
var errLimited = fmt.Errorf("%w: rate limit reached; send fewer calls a second", table.ErrUnavailable)

// errOutage is the refusal of an outage.
var errOutage = fmt.Errorf("%w: outage", table.ErrUnavailable)

// errInvalid reports a malformed call.
var errInvalid = errors.New("invalid call")

// Table is the table service in memory. It implements table.Store and
// table.Raw, and starts no goroutines.
type Table struct {
	writes    *rate.Limiter
	reads     *rate.Limiter
	pageLimit int
	faults    *faultSwitch

	mu      sync.Mutex
	records map[string]*record
	commits int64
}

// record is a row and, after a deletion, the version that it has reached.
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

// Get implements table.Store and table.Raw.
func (t *Table) Get(ctx context.Context, key string) (table.Row, error) {
	if err := t.enterRead(ctx); err != nil {
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
	return table.Settle(ctx, t, txn)
}

// Rows implements table.Raw.
func (t *Table) Rows(ctx context.Context, r table.Range) (table.RowList, error) {
	if err := t.enterRead(ctx); err != nil {
		return table.RowList{}, fmt.Errorf("rows %s: %w", r.Prefix, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.page(r), nil
}

// TryCommit implements table.Raw.
func (t *Table) TryCommit(ctx context.Context, txn table.Txn) (table.CommitResult, error) {
	result, err := t.commitOnce(ctx, txn)
	if err == nil && result.Committed && t.faults.losesAnswer() {
		return table.CommitResult{}, fmt.Errorf("transaction %s: %w: the answer was lost", txn.Nonce, table.ErrUnknown)
	}
	return result, err
}

// commitOnce applies the transaction; its answer is not lost.
func (t *Table) commitOnce(ctx context.Context, txn table.Txn) (table.CommitResult, error) {
	if err := validate(txn); err != nil {
		return table.CommitResult{}, fmt.Errorf("transaction %s: %w", txn.Nonce, err)
	}
	if err := t.faults.gate.Pass(ctx); err != nil {
		return table.CommitResult{}, fmt.Errorf("transaction %s: %w: no answer: %w", txn.Nonce, table.ErrUnknown, err)
	}
	if t.faults.get().Outage {
		return table.CommitResult{}, fmt.Errorf("transaction %s: %w", txn.Nonce, errOutage)
	}
	if !t.writes.Allow() {
		return table.CommitResult{}, fmt.Errorf("transaction %s: %w", txn.Nonce, errLimited)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if conflicts := t.conflicts(txn); len(conflicts) > 0 {
		return table.CommitResult{Conflicts: conflicts}, nil
	}
	t.apply(txn)
	return table.CommitResult{Committed: true}, nil
}

// validate refuses transactions whose meaning is unclear.
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

func (t *Table) enterRead(ctx context.Context) error {
	if err := t.faults.gate.Pass(ctx); err != nil {
		return fmt.Errorf("%w: no answer: %w", table.ErrUnavailable, err)
	}
	if t.faults.get().Outage {
		return errOutage
	}
	if !t.reads.Allow() {
		return errLimited
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

// conflicts names the rows whose version is not the expected one.
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

// page returns the rows of the range up to the limits. The caller holds mu.
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

// writeError sends a refusal, or cuts the connection of a lost answer.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, table.ErrUnknown):
		jsonhttp.Abort()
	case errors.Is(err, errLimited):
		jsonhttp.Fail(w, http.StatusTooManyRequests, err.Error())
	case errors.Is(err, errInvalid):
		jsonhttp.Fail(w, http.StatusBadRequest, err.Error())
	default:
		jsonhttp.Fail(w, http.StatusServiceUnavailable, err.Error())
	}
}
