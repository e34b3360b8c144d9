package object

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestObjectRoundTrip(t *testing.T) {
	want := &Object{
		Kind:     KindRank,
		Metadata: Metadata{Name: "urgent", ResourceVersion: 3, Generation: 1},
		Spec:     &RankSpec{FirstTokenTargetMillis: 670, InterTokenTargetMillis: 27, QueueBound: 10, MaxAttempts: 3, Objective: 0.95},
	}
	data, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	got := &Object{}
	if err := json.Unmarshal(data, got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("round trip (-want +got):\n%s", diff)
	}
}

func TestValidateListsEveryInvalidField(t *testing.T) {
	o := &Object{Kind: KindReplicaGroup, Metadata: Metadata{Name: "Bad Name"}, Spec: &ReplicaGroupSpec{}}
	if fieldErrors := o.Validate(); len(fieldErrors) != 5 {
		t.Errorf("got %d field errors, want 5: %v", len(fieldErrors), fieldErrors)
	}
}

func TestUnknownFieldIsAnError(t *testing.T) {
	var o Object
	err := json.Unmarshal([]byte(`{"kind":"Host","metadata":{"name":"h"},"spec":{"checkFencing":true}}`), &o)
	if err == nil {
		t.Fatal("got no error for an unknown field, want one")
	}
}
