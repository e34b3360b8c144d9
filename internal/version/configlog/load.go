package configlog

import (
	"context"
	"fmt"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/snapshot"
)

// maxLoadAttempts limits how often a load is attempted when the log entries that
// it needs are compacted in the meantime.
const maxLoadAttempts = 3

// readHead returns the revision of the head row in the store.
func readHead(ctx context.Context, store table.Store) (int64, error) {
	row, err := store.Get(ctx, table.KeyHead)
	if err != nil {
		return 0, fmt.Errorf("read the configuration head: %w", err)
	}
	return decodeHead(row)
}

// readRecords returns the log records of the revisions after+1 to upTo. The
// result has gaps where records were compacted.
func readRecords(ctx context.Context, store table.Store, after, upTo int64) ([]object.Record, error) {
	rows, err := store.List(ctx, table.Range{Prefix: table.PrefixLog, From: table.LogKey(after + 1), To: table.LogKey(upTo + 1)})
	if err != nil {
		return nil, fmt.Errorf("read the configuration log after revision %d: %w", after, err)
	}
	return decodeRecords(rows)
}

// contiguous reports whether the records are exactly those of the revisions
// after+1 to upTo.
func contiguous(records []object.Record, after, upTo int64) bool {
	for i, record := range records {
		if record.Revision != after+1+int64(i) {
			return false
		}
	}
	return int64(len(records)) == upTo-after
}

// loadSnapshot reads the whole configuration. It then applies the log records
// that were accepted during the read. Each record contains whole objects, so the
// result is exact at its revision whether or not a row read was already new.
func loadSnapshot(ctx context.Context, store table.Store) (*snapshot.Snapshot, error) {
	for range maxLoadAttempts {
		loaded, complete, err := loadOnce(ctx, store)
		if err != nil {
			return nil, err
		}
		if complete {
			return loaded, nil
		}
	}
	return nil, fmt.Errorf("the configuration log was compacted during %d loads, keep more revisions: %w", maxLoadAttempts, table.ErrUnavailable)
}

// loadOnce makes one attempt of loadSnapshot. It returns false where records that
// were accepted during the read have already been compacted.
func loadOnce(ctx context.Context, store table.Store) (*snapshot.Snapshot, bool, error) {
	before, err := readHead(ctx, store)
	if err != nil {
		return nil, false, err
	}
	objectRows, err := store.List(ctx, table.Range{Prefix: table.PrefixObject})
	if err != nil {
		return nil, false, fmt.Errorf("read the objects: %w", err)
	}
	objects, err := decodeObjects(objectRows)
	if err != nil {
		return nil, false, err
	}
	placementRows, err := store.List(ctx, table.Range{Prefix: table.PrefixPlacement})
	if err != nil {
		return nil, false, fmt.Errorf("read the placements: %w", err)
	}
	placements, err := decodePlacements(placementRows)
	if err != nil {
		return nil, false, err
	}
	after, err := readHead(ctx, store)
	if err != nil {
		return nil, false, err
	}
	records, err := readRecords(ctx, store, before, after)
	if err != nil {
		return nil, false, err
	}
	if !contiguous(records, before, after) {
		return nil, false, nil
	}
	loaded := snapshot.New(before, objects, placements)
	for _, record := range records {
		loaded = loaded.Apply(record)
	}
	return loaded, true, nil
}
