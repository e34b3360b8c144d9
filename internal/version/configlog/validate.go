package configlog

import (
	"fmt"
	"sort"

	"currantladder.example/currantladder/internal/version/object"
)

// floorShareTolerance absorbs rounding in sums of floor shares.
const floorShareTolerance = 1e-9

// validate returns all invalid fields of the changes: those of single objects,
// and those across objects, which are checked on the state after all changes.
func validate(s *state, changes []object.Change) []object.FieldError {
	fieldErrors := validateEach(changes)
	if !changesKind(changes, object.KindRank) && !changesKind(changes, object.KindClientAccount) {
		return fieldErrors
	}
	after := objectsAfter(s, changes)
	fieldErrors = append(fieldErrors, rankReferenceErrors(after)...)
	fieldErrors = append(fieldErrors, keyHashErrors(after)...)
	return append(fieldErrors, floorShareErrors(after)...)
}

// validateEach returns the invalid fields of each change on its own.
func validateEach(changes []object.Change) []object.FieldError {
	var fieldErrors []object.FieldError
	seen := make(map[string]bool)
	for i, change := range changes {
		id, ok := changeID(change)
		if !ok {
			fieldErrors = append(fieldErrors, object.FieldError{Field: fmt.Sprintf("changes[%d]", i), Message: "must name one object or one placement"})
			continue
		}
		if seen[id] {
			fieldErrors = append(fieldErrors, object.FieldError{Field: id, Message: "is changed twice: keep one of the changes"})
		}
		seen[id] = true
		if change.Object != nil {
			fieldErrors = append(fieldErrors, objectErrors(change.Object)...)
		}
	}
	return fieldErrors
}

// changeID identifies the object or placement that a change affects. It returns
// false for a change that affects none or several.
func changeID(change object.Change) (string, bool) {
	var ids []string
	if change.Object != nil {
		ids = append(ids, change.Object.Key().String())
	}
	if change.Deleted != nil {
		ids = append(ids, change.Deleted.String())
	}
	if change.Placement != nil {
		ids = append(ids, placementKey(change.Placement.Group))
	}
	if change.DeletedPlacement != "" {
		ids = append(ids, placementKey(change.DeletedPlacement))
	}
	if len(ids) != 1 {
		return "", false
	}
	return ids[0], true
}

func objectErrors(o *object.Object) []object.FieldError {
	fieldErrors := o.Validate()
	if o.Spec != nil && o.Spec.Kind() != o.Kind {
		fieldErrors = append(fieldErrors, object.FieldError{Field: "kind", Message: fmt.Sprintf("is %q but the spec is of kind %q", o.Kind, o.Spec.Kind())})
	}
	for i := range fieldErrors {
		fieldErrors[i].Field = o.Key().String() + " " + fieldErrors[i].Field
	}
	return fieldErrors
}

// changesKind reports whether a change writes or deletes an object of the kind.
func changesKind(changes []object.Change, kind object.Kind) bool {
	for _, change := range changes {
		if key, ok := changedKey(change); ok && key.Kind == kind {
			return true
		}
	}
	return false
}

// objectsAfter returns the objects of the state as they are after the changes,
// sorted by key.
func objectsAfter(s *state, changes []object.Change) []*object.Object {
	byKey := make(map[object.Key]*object.Object, len(s.objects))
	for key, row := range s.objects {
		byKey[key] = row.value
	}
	for _, change := range changes {
		switch {
		case change.Object != nil:
			byKey[change.Object.Key()] = change.Object
		case change.Deleted != nil:
			delete(byKey, *change.Deleted)
		}
	}
	after := make([]*object.Object, 0, len(byKey))
	for _, o := range byKey {
		after = append(after, o)
	}
	sort.Slice(after, func(i, j int) bool { return after[i].Key().String() < after[j].Key().String() })
	return after
}

// rankReferenceErrors returns an error for each rank name in an account that does
// not exist, also where the changes delete the rank.
func rankReferenceErrors(objects []*object.Object) []object.FieldError {
	ranks := make(map[string]bool)
	for _, o := range objects {
		if o.Kind == object.KindRank {
			ranks[o.Metadata.Name] = true
		}
	}
	var fieldErrors []object.FieldError
	for _, o := range objects {
		account, ok := o.Spec.(*object.ClientAccountSpec)
		if !ok {
			continue
		}
		for i, rank := range account.Ranks {
			if !ranks[rank] {
				field := fmt.Sprintf("%s spec.ranks[%d]", o.Key(), i)
				fieldErrors = append(fieldErrors, object.FieldError{Field: field, Message: fmt.Sprintf("names rank %q, which does not exist: create the rank in the same change, or remove it from the account first", rank)})
			}
		}
	}
	return fieldErrors
}

// keyHashErrors returns an error for each repeated key hash.
func keyHashErrors(objects []*object.Object) []object.FieldError {
	owners := make(map[string]object.Key)
	var fieldErrors []object.FieldError
	for _, o := range objects {
		account, ok := o.Spec.(*object.ClientAccountSpec)
		if !ok {
			continue
		}
		for i, hash := range account.KeyHashes {
			if owner, taken := owners[hash]; taken {
				field := fmt.Sprintf("%s spec.keyHashes[%d]", o.Key(), i)
				fieldErrors = append(fieldErrors, object.FieldError{Field: field, Message: fmt.Sprintf("is already a key of %s: issue another key", owner)})
			}
			owners[hash] = o.Key()
		}
	}
	return fieldErrors
}

// floorShareErrors returns an error if the floor shares of all ranks sum to 1 or
// more.
func floorShareErrors(objects []*object.Object) []object.FieldError {
	sum := 0.0
	for _, o := range objects {
		if rank, ok := o.Spec.(*object.RankSpec); ok {
			sum += rank.FloorShare
		}
	}
	if sum < 1-floorShareTolerance {
		return nil
	}
	return []object.FieldError{{Field: "Rank spec.floorShare", Message: fmt.Sprintf("sums to %g over all ranks: keep the sum below 1", sum)}}
}
