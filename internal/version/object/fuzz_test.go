package object

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// FuzzObjectDecode verifies that an accepted object has the spec of its kind, can
// be validated, and is unchanged after encoding and decoding.
func FuzzObjectDecode(f *testing.F) {
	for _, seed := range []string{
		`{"kind":"ReplicaGroup","metadata":{"name":"g"},"spec":{"model":"m","modelVersion":"1","failureDomain":"fd","members":2}}`,
		`{"kind":"ClientAccount","metadata":{"name":"a","resourceVersion":7},"spec":{"keyHashes":["00"],"ranks":["urgent"],"tokensPerSecond":1e3,"burstTokens":9,"maxInFlight":2,"class":"small"}}`,
		`{"kind":"Rank","metadata":{"name":"urgent"},"spec":{"priority":0,"floorShare":0.1}}`,
		`{"kind":"Service","metadata":{"name":"s"},"spec":{"hosts":["h"],"idempotent":[{"method":"GET","path":"/lanes/*"}],"timeoutMillis":5}}`,
		`{"kind":"Host","metadata":{"name":"h"},"spec":{"checksFencing":true},"status":{"observedGeneration":1,"conditions":[{"type":"InForce","status":true}]}}`,
		`{"kind":"Node","metadata":{"name":"n"},"spec":null}`,
		`{"kind":"Host","metadata":{"name":"h"},"spec":{}} trailing`,
		`{"kind":"Host","spec":[]}`,
		`{"kind":"Nobody"}`,
		`null`,
		``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var first Object
		if json.Unmarshal(data, &first) != nil {
			return
		}
		if first.Spec == nil || first.Spec.Kind() != first.Kind {
			t.Fatalf("got spec %T for kind %q, want a spec of that kind", first.Spec, first.Kind)
		}
		first.Validate()
		encoded, err := json.Marshal(&first)
		if err != nil {
			t.Fatal(err)
		}
		var second Object
		if err := json.Unmarshal(encoded, &second); err != nil {
			t.Fatalf("%s: %v", encoded, err)
		}
		if diff := cmp.Diff(first, second, cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("%s (-first +second):\n%s", encoded, diff)
		}
	})
}
