package feed

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/version/position"
)

// Limits of shared answers.
const (
	// maxSharedTableAge is how long a packed whole table is sent to further readers. It
	// keeps the age of what they read below maxCopyAge.
	maxSharedTableAge = 400 * time.Millisecond
	// maxSharedChanges limits the packed changes that are kept for one position of the
	// table. Nearly all readers ask for those since the one or two positions before.
	maxSharedChanges = 16
)

// Packed is an encoded batch with the ages that Batch describes.
type Packed struct {
	Body                    []byte
	ConfirmedAgo, FailedAgo time.Duration
}

// sharedAnswers holds the encoded batches that a follower sends to more than one reader.
type sharedAnswers struct {
	// mu is held while a batch is encoded, so that other readers wait for it and do not
	// encode it again.
	mu sync.Mutex
	// changes are the packed changes up to position, by the position that they start at.
	changes  map[position.Position][]byte
	position position.Position
	// packedTable and plainTable are whole tables, packed and as JSON.
	packedTable, plainTable sharedTable
}

// sharedTable is an encoded whole table as of a position. The store confirmed it at
// confirmed, and it was encoded at made.
type sharedTable struct {
	body            []byte
	position        position.Position
	confirmed, made time.Time
}

// PackedChanges returns the changes after since like Changes, packed. Readers that ask
// for the same ones share them. Records whose value the reader already holds are
// unchanged.
func (f *Follower) PackedChanges(ctx context.Context, since position.Position, wait time.Duration) (Packed, error) {
	if err := f.table.await(ctx, since, wait); err != nil {
		return Packed{}, err
	}
	age := f.withAge(Batch{})
	f.shared.mu.Lock()
	defer f.shared.mu.Unlock()
	if at := f.table.Position(); at != f.shared.position || f.shared.changes == nil {
		f.shared.position, f.shared.changes = at, map[position.Position][]byte{}
	}
	body := f.shared.changes[since]
	if body == nil {
		batch, err := f.table.shortChanges(since)
		if err != nil {
			return Packed{}, err
		}
		if body, err = Pack(batch); err != nil {
			return Packed{}, err
		}
		if batch.Position() == f.shared.position && len(f.shared.changes) < maxSharedChanges {
			f.shared.changes[since] = body
		}
	}
	return Packed{body, age.ConfirmedAgo, age.FailedAgo}, nil
}

// PackedSnapshot returns the whole copy like Snapshot, packed, and whether it was ever
// loaded. Readers that ask within a short time share it.
func (f *Follower) PackedSnapshot() (Packed, bool, error) {
	return f.sharedSnapshot(&f.shared.packedTable, Pack)
}

// PlainSnapshot is PackedSnapshot for readers that understand only JSON. The ages are not
// in the JSON.
func (f *Follower) PlainSnapshot() (Packed, bool, error) {
	return f.sharedSnapshot(&f.shared.plainTable, func(b Batch) ([]byte, error) { return json.Marshal(b) })
}

func (f *Follower) sharedSnapshot(shared *sharedTable, encode func(Batch) ([]byte, error)) (Packed, bool, error) {
	if _, loaded := f.table.Version(); !loaded {
		return Packed{}, false, nil
	}
	f.shared.mu.Lock()
	defer f.shared.mu.Unlock()
	now := time.Now()
	if shared.body == nil || now.Sub(shared.made) > maxSharedTableAge || !f.table.followsFrom(shared.position) {
		confirmed, _ := f.LastContact()
		batch, _ := f.table.Snapshot()
		body, err := encode(batch)
		if err != nil {
			return Packed{}, true, fmt.Errorf("encode the whole table: %w", err)
		}
		*shared = sharedTable{body, batch.Position(), confirmed, now}
	}
	return Packed{shared.body, time.Since(shared.confirmed), f.withAge(Batch{}).FailedAgo}, true, nil
}
