package configlog

import (
	"context"
	"fmt"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/version/object"
)

// maxSingleReads is the number of changes of one kind up to which rows are
// read one by one rather than by one range read.
const maxSingleReads = 3

// stored is a row together with its decoded value; version 0 means absent.
type stored[T any] struct {
	version table.Version
	value   *T
}

// state is what a proposal is decided on. All rows were read after the head,
// so a transaction that asserts the head's version proves that they are
// still current.
type state struct {
	headVersion table.Version
	revision    int64
	objects     map[object.Key]stored[object.Object]
	placements  map[string]stored[object.Placement]
}

// readState reads the head, then the rows that the changes touch and those
// that the checks across objects need.
func readState(ctx context.Context, store table.Store, changes []object.Change) (*state, error) {
	head, err := store.Get(ctx, table.KeyHead)
	if err != nil {
		return nil, fmt.Errorf("read the configuration head: %w", err)
	}
	revision, err := decodeHead(head)
	if err != nil {
		return nil, err
	}
	s := &state{
		headVersion: head.Version,
		revision:    revision,
		objects:     make(map[object.Key]stored[object.Object]),
		placements:  make(map[string]stored[object.Placement]),
	}
	if err := s.readObjects(ctx, store, changes); err != nil {
		return nil, err
	}
	return s, s.readPlacements(ctx, store, changes)
}

func (s *state) readObjects(ctx context.Context, store table.Store, changes []object.Change) error {
	keys := make(map[object.Kind][]object.Key)
	for _, change := range changes {
		if key, ok := changedKey(change); ok {
			keys[key.Kind] = append(keys[key.Kind], key)
		}
	}
	whole := make(map[object.Kind]bool)
	if len(keys[object.KindRank]) > 0 || len(keys[object.KindClientAccount]) > 0 {
		whole[object.KindRank] = true
		whole[object.KindClientAccount] = true
	}
	for kind, changed := range keys {
		whole[kind] = whole[kind] || len(changed) > maxSingleReads
	}
	for kind := range whole {
		if !whole[kind] {
			continue
		}
		if err := s.listKind(ctx, store, kind); err != nil {
			return err
		}
	}
	for kind, changed := range keys {
		if whole[kind] {
			continue
		}
		for _, key := range changed {
			if err := s.getObject(ctx, store, key); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *state) listKind(ctx context.Context, store table.Store, kind object.Kind) error {
	rows, err := store.List(ctx, table.Range{Prefix: kindPrefix(kind)})
	if err != nil {
		return fmt.Errorf("read the objects of kind %s: %w", kind, err)
	}
	for _, row := range rows {
		if err := s.addObject(row); err != nil {
			return err
		}
	}
	return nil
}

func (s *state) getObject(ctx context.Context, store table.Store, key object.Key) error {
	row, err := store.Get(ctx, objectKey(key))
	if err != nil {
		return fmt.Errorf("read %s: %w", key, err)
	}
	if row.Version == 0 {
		return nil
	}
	return s.addObject(row)
}

func (s *state) addObject(row table.Row) error {
	o := &object.Object{}
	if err := decodeRow(row, o); err != nil {
		return err
	}
	s.objects[o.Key()] = stored[object.Object]{version: row.Version, value: o}
	return nil
}

func (s *state) readPlacements(ctx context.Context, store table.Store, changes []object.Change) error {
	for _, change := range changes {
		group := changedGroup(change)
		if group == "" {
			continue
		}
		row, err := store.Get(ctx, placementKey(group))
		if err != nil {
			return fmt.Errorf("read the placement of %s: %w", group, err)
		}
		if row.Version == 0 {
			continue
		}
		placement := &object.Placement{}
		if err := decodeRow(row, placement); err != nil {
			return err
		}
		s.placements[group] = stored[object.Placement]{version: row.Version, value: placement}
	}
	return nil
}

// changedKey returns the key of the object that a change writes or deletes.
func changedKey(change object.Change) (object.Key, bool) {
	switch {
	case change.Object != nil:
		return change.Object.Key(), true
	case change.Deleted != nil:
		return *change.Deleted, true
	default:
		return object.Key{}, false
	}
}

// changedGroup returns the group whose placement a change writes or deletes,
// or "".
func changedGroup(change object.Change) string {
	if change.Placement != nil {
		return change.Placement.Group
	}
	return change.DeletedPlacement
}
