package configlog

import (
	"context"
	"fmt"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/version/object"
)

// maxSingleRowReads is the largest number of changes of one kind for which rows
// are read one by one rather than with one range read.
const maxSingleRowReads = 3

// decodedRow is a row with its decoded value; version 0 means that it is absent.
type decodedRow[T any] struct {
	version table.Version
	value   *T
}

// state contains the rows that a proposal is planned on. All of them were read
// after the head, so a transaction that requires the head's version commits only
// while they are still current.
type state struct {
	headVersion table.Version
	revision    int64
	objects     map[object.Key]decodedRow[object.Object]
	placements  map[string]decodedRow[object.Placement]
}

// readState reads the head, then the rows that the changes affect and those that
// are needed to validate the changes across objects.
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
		objects:     make(map[object.Key]decodedRow[object.Object]),
		placements:  make(map[string]decodedRow[object.Placement]),
	}
	if err := s.readObjects(ctx, store, changes); err != nil {
		return nil, err
	}
	return s, s.readPlacements(ctx, store, changes)
}

// readObjects reads the objects that the changes write or delete. Of kinds that
// are validated across objects or have many changes it reads all objects.
func (s *state) readObjects(ctx context.Context, store table.Store, changes []object.Change) error {
	keys := make(map[object.Kind][]object.Key)
	for _, change := range changes {
		if key, ok := changedKey(change); ok {
			keys[key.Kind] = append(keys[key.Kind], key)
		}
	}
	listed := make(map[object.Kind]bool)
	if len(keys[object.KindRank]) > 0 || len(keys[object.KindClientAccount]) > 0 {
		// Ranks and accounts are validated against each other.
		listed[object.KindRank] = true
		listed[object.KindClientAccount] = true
	}
	for kind, changed := range keys {
		listed[kind] = listed[kind] || len(changed) > maxSingleRowReads
	}
	for kind := range listed {
		if !listed[kind] {
			continue
		}
		if err := s.listKind(ctx, store, kind); err != nil {
			return err
		}
	}
	for kind, changed := range keys {
		if listed[kind] {
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
	s.objects[o.Key()] = decodedRow[object.Object]{version: row.Version, value: o}
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
		s.placements[group] = decodedRow[object.Placement]{version: row.Version, value: placement}
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

// changedGroup returns the group whose placement a change writes or deletes, or
// "" where it changes no placement.
func changedGroup(change object.Change) string {
	if change.Placement != nil {
		return change.Placement.Group
	}
	return change.DeletedPlacement
}
