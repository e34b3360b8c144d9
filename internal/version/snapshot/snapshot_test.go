package snapshot

import (
	"slices"
	"testing"

	"currantladder.example/currantladder/internal/version/object"
)

// TestModelsFollowGroups verifies that a model is listed from the declaration of
// its first group until the deletion of its last.
func TestModelsFollowGroups(t *testing.T) {
	group := func(name, model string) object.Change {
		return object.Change{Object: &object.Object{Kind: object.KindReplicaGroup, Metadata: object.Metadata{Name: name}, Spec: &object.ReplicaGroupSpec{Model: model}}}
	}
	deletion := func(name string) object.Change {
		return object.Change{Deleted: &object.Key{Kind: object.KindReplicaGroup, Name: name}}
	}
	s := Empty()
	for i, step := range []struct {
		change object.Change
		want   []string
	}{
		{group("g2", "b"), []string{"b"}},
		{group("g1", "a"), []string{"a", "b"}},
		{group("g3", "b"), []string{"a", "b"}},
		{deletion("g2"), []string{"a", "b"}},
		{deletion("g3"), []string{"a"}},
	} {
		s = s.Apply(object.Record{Revision: int64(i + 1), Changes: []object.Change{step.change}})
		if !slices.Equal(s.Models(), step.want) || s.HasModel("b") != slices.Contains(step.want, "b") {
			t.Errorf("step %d: got models %v, want %v and HasModel to agree", i, s.Models(), step.want)
		}
	}
}
