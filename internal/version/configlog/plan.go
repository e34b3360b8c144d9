package configlog

import (
	"reflect"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/version/object"
)

// plan checks a proposal against the state that was read. It returns the record
// of the next revision and the transaction that accepts it. If the state already
// is as proposed, the record has no changes and the current revision.
func plan(p Proposal, s *state, nonce string, now time.Time) (object.Record, table.Txn, error) {
	if fieldErrors := validate(s, p.Changes); len(fieldErrors) > 0 {
		return object.Record{}, table.Txn{}, &InvalidError{FieldErrors: fieldErrors}
	}
	record := object.Record{Revision: s.revision + 1, Author: p.Author, Time: now}
	txn := table.Txn{Nonce: nonce}
	for _, change := range p.Changes {
		accepted, write, err := planChange(change, s, record.Revision)
		if err != nil {
			return object.Record{}, table.Txn{}, err
		}
		if write == nil {
			continue
		}
		record.Changes = append(record.Changes, accepted)
		txn.Writes = append(txn.Writes, *write)
	}
	if len(record.Changes) == 0 {
		record.Revision = s.revision
	} else {
		txn.Writes = append(txn.Writes,
			table.Write{Key: table.LogKey(record.Revision), Value: encode(record)},
			table.Write{Key: table.KeyHead, Expect: s.headVersion, Value: encode(headRow{record.Revision})})
	}
	return record, txn, addExtras(&txn, p)
}

// addExtras adds the proposal's extra checks and writes to the transaction. A
// check of a row that the changes write is not added but compared with the
// version that the write expects.
func addExtras(txn *table.Txn, p Proposal) error {
	expected := make(map[string]table.Version, len(txn.Writes))
	for _, write := range txn.Writes {
		expected[write.Key] = write.Expect
	}
	txn.Writes = append(txn.Writes, p.Writes...)
	for _, check := range p.Checks {
		version, written := expected[check.Key]
		if !written {
			txn.Checks = append(txn.Checks, check)
			continue
		}
		if version != check.Version {
			return &table.ConflictError{Keys: []string{check.Key}}
		}
	}
	return nil
}

// planChange returns the change as it will be recorded and its row write, or a
// nil write where the change has no effect.
func planChange(change object.Change, s *state, revision int64) (object.Change, *table.Write, error) {
	switch {
	case change.Object != nil:
		return planObject(change.Object, s, revision)
	case change.Deleted != nil:
		return planDeletion(change, s)
	case change.Placement != nil:
		return planPlacement(change.Placement, s)
	default:
		row := s.placements[change.DeletedPlacement]
		if row.version == 0 {
			return change, nil, nil
		}
		return change, &table.Write{Key: placementKey(change.DeletedPlacement), Expect: row.version, Delete: true}, nil
	}
}

func planObject(o *object.Object, s *state, revision int64) (object.Change, *table.Write, error) {
	row := s.objects[o.Key()]
	if err := checkVersion(o.Key(), o.Metadata.ResourceVersion, row); err != nil {
		return object.Change{}, nil, err
	}
	accepted := &object.Object{Kind: o.Kind, Spec: o.Spec}
	accepted.Metadata = object.Metadata{Name: o.Metadata.Name, ResourceVersion: revision, Generation: 1}
	if row.version > 0 {
		if sameJSON(row.value.Spec, o.Spec) {
			return object.Change{}, nil, nil
		}
		accepted.Metadata.Generation = row.value.Metadata.Generation + 1
	}
	write := &table.Write{Key: objectKey(o.Key()), Expect: row.version, Value: encode(accepted)}
	return object.Change{Object: accepted}, write, nil
}

func planDeletion(change object.Change, s *state) (object.Change, *table.Write, error) {
	row := s.objects[*change.Deleted]
	if err := checkVersion(*change.Deleted, change.ResourceVersion, row); err != nil {
		return object.Change{}, nil, err
	}
	if row.version == 0 {
		return object.Change{}, nil, nil
	}
	write := &table.Write{Key: objectKey(*change.Deleted), Expect: row.version, Delete: true}
	return change, write, nil
}

// checkVersion compares the resource version that a change names, if any,
// with the stored one.
func checkVersion(key object.Key, expected int64, row decodedRow[object.Object]) error {
	if expected == 0 {
		return nil
	}
	current := int64(0)
	if row.version > 0 {
		current = row.value.Metadata.ResourceVersion
	}
	if current != expected {
		return &VersionError{Key: key, Expected: expected, Current: current}
	}
	return nil
}

// planPlacement rejects a placement that has a lower generation than the stored
// one, or that changes members, model or version without a higher generation.
func planPlacement(p *object.Placement, s *state) (object.Change, *table.Write, error) {
	row := s.placements[p.Group]
	if row.version > 0 {
		if sameJSON(row.value, p) {
			return object.Change{}, nil, nil
		}
		if p.Generation < row.value.Generation || (p.Generation == row.value.Generation && !sameAssignment(p, row.value)) {
			return object.Change{}, nil, &table.ConflictError{Keys: []string{placementKey(p.Group)}}
		}
	}
	write := &table.Write{Key: placementKey(p.Group), Expect: row.version, Value: encode(p)}
	return object.Change{Placement: p}, write, nil
}

// sameAssignment reports whether two placements have the same members, model and
// version.
func sameAssignment(a, b *object.Placement) bool {
	return sameJSON(a.Members, b.Members) && a.Model == b.Model && a.ModelVersion == b.ModelVersion
}

// sameJSON compares two values in their stored form, in which an empty list and
// a nil list of an omitempty field are equal.
func sameJSON(a, b any) bool {
	return reflect.DeepEqual(encode(a), encode(b))
}
