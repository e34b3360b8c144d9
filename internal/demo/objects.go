package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"currantladder.example/currantladder/internal/version/object"
)

// account is one client account of the demonstration.
type account struct {
	name  string
	class object.AccountClass
	// callers is the number of concurrent callers of the account.
	callers int
	// tokensPerSecond and burstTokens are the account's cap.
	tokensPerSecond float64
	burstTokens     int64
	maxInFlight     int
}

func (a account) apiKey() string { return "demo-key-" + a.name }

// rankNames lists the ranks, the most urgent first.
var rankNames = []string{"urgent", "standard", "batch"}

// accounts returns ten accounts: one that requests more than its cap, one other
// large account and eight small ones.
func accounts() []account {
	list := []account{
		{"municipality-a", object.AccountLarge, 12, 1500, 1500, 8},
		{"league-a", object.AccountLarge, 6, 8000, 8000, 16},
	}
	for i := range 8 {
		list = append(list, account{fmt.Sprintf("small-%d", i+1), object.AccountSmall, 2, 8000, 8000, 8})
	}
	return list
}

// declaredObjects returns every object that the demonstration applies.
func declaredObjects() []*object.Object {
	objects := []*object.Object{
		{Kind: object.KindRank, Metadata: object.Metadata{Name: "urgent"}, Spec: rankSpec(0, 670, 0, false)},
		{Kind: object.KindRank, Metadata: object.Metadata{Name: "standard"}, Spec: rankSpec(1, 5_000, 0.2, true)},
		{Kind: object.KindRank, Metadata: object.Metadata{Name: "batch"}, Spec: rankSpec(2, 30_000, 0.1, true)},
		{Kind: object.KindService, Metadata: object.Metadata{Name: serviceName}, Spec: &object.ServiceSpec{
			Hosts:         []string{serviceHost},
			Idempotent:    []object.ServiceCall{{Method: http.MethodGet, Path: "/lanes"}},
			TimeoutMillis: 5_000,
		}},
	}
	for _, a := range accounts() {
		objects = append(objects, &object.Object{Kind: object.KindClientAccount, Metadata: object.Metadata{Name: a.name}, Spec: &object.ClientAccountSpec{
			KeyHashes:       []string{sha256Hex(a.apiKey())},
			Ranks:           rankNames,
			TokensPerSecond: a.tokensPerSecond,
			BurstTokens:     a.burstTokens,
			MaxInFlight:     a.maxInFlight,
			Class:           a.class,
		}})
	}
	for i := range engineCount {
		objects = append(objects, &object.Object{Kind: object.KindHost, Metadata: object.Metadata{Name: fmt.Sprintf("engine-%02d", i+1)}, Spec: &object.HostSpec{ChecksFencing: true}})
	}
	for i := range groupCount {
		objects = append(objects, &object.Object{Kind: object.KindReplicaGroup, Metadata: object.Metadata{Name: fmt.Sprintf("advice-%d", i+1)}, Spec: &object.ReplicaGroupSpec{
			Model:         modelName,
			ModelVersion:  modelVersion,
			FailureDomain: failureDomain,
			Members:       groupMembers,
			Worth:         1,
		}})
	}
	return objects
}

func rankSpec(priority int, firstTokenMillis int64, floorShare float64, preemptible bool) *object.RankSpec {
	return &object.RankSpec{
		Priority:               priority,
		FirstTokenTargetMillis: firstTokenMillis,
		InterTokenTargetMillis: 27,
		FloorShare:             floorShare,
		QueueBound:             500,
		Preemptible:            preemptible,
		RetryShare:             0.2,
		MaxAttempts:            4,
		Objective:              0.95,
	}
}

// operatorClient calls the resource API of one node.
type operatorClient struct {
	client  *http.Client
	address string
}

func newOperatorClient(address string) *operatorClient {
	return &operatorClient{client: &http.Client{Timeout: 5 * time.Second}, address: address}
}

// call sends one request and decodes the response body into target.
func (o *operatorClient) call(ctx context.Context, method, path string, body, target any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+o.address+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	request.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("%s %s: %s: %s", method, path, response.Status, bytes.TrimSpace(text))
	}
	return json.NewDecoder(response.Body).Decode(target)
}

// apply applies the objects.
func (o *operatorClient) apply(ctx context.Context, objects []*object.Object) error {
	var reply json.RawMessage
	return o.call(ctx, http.MethodPost, "/api/apply", objects, &reply)
}

// get reads one object.
func (o *operatorClient) get(ctx context.Context, key object.Key) (*object.Object, error) {
	var got object.Object
	err := o.call(ctx, http.MethodGet, fmt.Sprintf("/api/%s/%s", key.Kind, key.Name), nil, &got)
	return &got, err
}

// waitForCondition polls until the condition of the object is true, and returns
// how long that took.
func (o *operatorClient) waitForCondition(ctx context.Context, key object.Key, condition object.ConditionType, timeout time.Duration) (time.Duration, error) {
	const pollInterval = 50 * time.Millisecond
	started := time.Now()
	for {
		got, err := o.get(ctx, key)
		if err == nil {
			if c := got.Status.Condition(condition); c != nil && c.Status {
				return time.Since(started), nil
			}
		}
		if time.Since(started) > timeout {
			return timeout, fmt.Errorf("%s is not %s after %v: %s", key, condition, timeout, conditionMessage(got, condition, err))
		}
		select {
		case <-ctx.Done():
			return time.Since(started), ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// conditionMessage returns why the condition is not true, as last observed.
func conditionMessage(got *object.Object, condition object.ConditionType, err error) string {
	if err != nil {
		return err.Error()
	}
	if c := got.Status.Condition(condition); c != nil {
		return c.Reason + ": " + c.Message
	}
	return "the condition is not reported"
}
