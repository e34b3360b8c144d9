package lease

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"

	"currantladder.example/currantladder/internal/connection/table"
)

// put writes one row in a transaction with the checks and returns the row's new
// version. Where the outcome is unknown it reads the row back and compares the
// nonce.
func (k *Keeper) put(ctx context.Context, key string, expect table.Version, value any, checks []table.Check) (table.Version, error) {
	nonce := newNonce()
	write := table.Write{Key: key, Expect: expect, Value: encode(value)}
	err := k.commit(ctx, table.Txn{Nonce: nonce, Checks: checks, Writes: []table.Write{write}})
	if err != nil && !errors.Is(err, table.ErrUnknown) {
		return 0, err
	}
	if err == nil {
		k.recordContact()
	}
	if err == nil && expect > 0 {
		return expect + 1, nil
	}
	// The version of an inserted row must be read back, because the service
	// may continue the count of a row that was deleted before.
	row, readErr := k.get(ctx, key)
	if readErr != nil {
		return 0, errors.Join(err, readErr)
	}
	if row.Nonce != nonce {
		return 0, cmp.Or(err, error(&table.ConflictError{Keys: []string{key}}))
	}
	return row.Version, nil
}

// commit sends a transaction. It times out after the renewal interval.
func (k *Keeper) commit(ctx context.Context, txn table.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, k.renewInterval)
	defer cancel()
	return k.store.Commit(ctx, txn)
}

// get reads a row. It times out after the renewal interval.
func (k *Keeper) get(ctx context.Context, key string) (table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, k.renewInterval)
	defer cancel()
	return k.store.Get(ctx, key)
}

func newNonce() string { return rand.Text() }

// encode marshals a row value. It panics on an error, which cannot occur: the
// row types contain only strings and integers.
func encode(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
