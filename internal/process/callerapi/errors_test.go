package callerapi_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/process/callerapi"
	"currantladder.example/currantladder/internal/request/refusal"
)

// refuseDial fails every connection.
func refuseDial(context.Context, string, string) (net.Conn, error) {
	return nil, errors.New("connection refused")
}

// startTestNode returns a node whose endpoints cannot be reached. It stops with
// the test.
func startTestNode(t testing.TB) *testNode {
	ctx, cancel := context.WithCancel(context.Background())
	n := newTestNode(ctx, endpoint.NewClientOver(refuseDial), "engine", "service-0", 4)
	t.Cleanup(func() {
		cancel()
		n.home.Wait()
	})
	return n
}

// send passes one request to the handler and returns the status and refusal of
// the answer.
func (n *testNode) send(t testing.TB, r *http.Request) (int, *refusal.Error) {
	t.Helper()
	recorder := httptest.NewRecorder()
	n.handler.ServeHTTP(recorder, r)
	var body refusal.Body
	if err := json.Unmarshal(recorder.Body.Bytes(), &body); err != nil || body.Error == nil {
		t.Fatalf("got status %d and body %s, want a refusal", recorder.Code, recorder.Body)
	}
	return recorder.Code, body.Error
}

func newCall(method, path, body string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testKey)
	return r
}

// TestInvalidRequestsAreRefusedWithoutEffect verifies for every mistake of a
// caller that the refusal has the expected kind and status, and that it precedes
// admission, claims and calls of endpoints.
func TestInvalidRequestsAreRefusedWithoutEffect(t *testing.T) {
	const valid = `{"model":"m","prompt":"p","max_tokens":3}`
	header := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(name, value) }
	}
	for _, c := range []struct {
		name   string
		path   string
		body   string
		change func(*http.Request)
		kind   refusal.Kind
		status int
	}{
		{"no key", "/v1/completions", valid, func(r *http.Request) { r.Header.Del("Authorization") }, refusal.KindUnauthorized, 401},
		{"wrong key", "/v1/completions", valid, header("Authorization", "Bearer other"), refusal.KindUnauthorized, 401},
		{"wrong scheme", "/v1/completions", valid, header("Authorization", "Basic "+testKey), refusal.KindUnauthorized, 401},
		{"wrong key for a service", "/services/booking/book", "{}", header("Authorization", "Bearer other"), refusal.KindUnauthorized, 401},
		{"unknown rank", "/v1/completions", valid, header(callerapi.HeaderRank, "soon"), refusal.KindUnknownRank, 400},
		{"rank not allowed", "/v1/completions", valid, header(callerapi.HeaderRank, "batch"), refusal.KindRankNotAllowed, 403},
		{"timeout is not a number", "/v1/completions", valid, header(callerapi.HeaderTimeout, "1s"), refusal.KindBadRequest, 400},
		{"timeout is not positive", "/v1/completions", valid, header(callerapi.HeaderTimeout, "0"), refusal.KindBadRequest, 400},
		{"timeout is too long", "/v1/completions", valid, header(callerapi.HeaderTimeout, "9223372036854775807"), refusal.KindBadRequest, 400},
		{"body too large", "/v1/completions", strings.Repeat(" ", maxBodyBytes) + valid, nil, refusal.KindBodyTooLarge, 413},
		{"body of a service too large", "/services/booking/book", strings.Repeat(" ", maxBodyBytes+1), nil, refusal.KindBodyTooLarge, 413},
		{"body is not JSON", "/v1/completions", "prompt=p", nil, refusal.KindBadRequest, 400},
		{"truncated JSON", "/v1/completions", valid[:20], nil, refusal.KindBadRequest, 400},
		{"wrong type of messages", "/v1/chat/completions", `{"model":"m","messages":"p"}`, nil, refusal.KindBadRequest, 400},
		{"no prompt", "/v1/completions", `{"model":"m"}`, nil, refusal.KindBadRequest, 400},
		{"no messages", "/v1/chat/completions", `{"model":"m"}`, nil, refusal.KindBadRequest, 400},
		{"more than one answer", "/v1/completions", `{"model":"m","prompt":"p","n":2}`, nil, refusal.KindBadRequest, 400},
		{"zero max_tokens", "/v1/completions", `{"model":"m","prompt":"p","max_tokens":0}`, nil, refusal.KindBadRequest, 400},
		{"max_tokens is too high", "/v1/completions", `{"model":"m","prompt":"p","max_tokens":99999999}`, nil, refusal.KindBadRequest, 400},
		{"unknown model", "/v1/completions", `{"model":"x","prompt":"p"}`, nil, refusal.KindUnknownModel, 404},
		{"unknown service", "/services/other/book", "{}", nil, refusal.KindUnknownService, 404},
		{"idempotency key is too long", "/services/booking/book", "{}", header(callerapi.HeaderIdempotencyKey, strings.Repeat("k", 256)), refusal.KindBadRequest, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := startTestNode(t)
			r := newCall(http.MethodPost, c.path, c.body)
			if c.change != nil {
				c.change(r)
			}
			status, refused := n.send(t, r)
			if refused.Kind != c.kind || status != c.status || refused.Ran != refusal.RanNo {
				t.Errorf("got status %d, %v; want %d, %s", status, refused, c.status, c.kind)
			}
			if refused.RequestID == "" || refused.Message == "" {
				t.Errorf("got refusal %+v, want a request ID and a message", refused)
			}
			if calls := n.downstreamCalls.Load(); calls != 0 {
				t.Errorf("got %d admissions, claims or calls of the home, want 0", calls)
			}
		})
	}
}

// FuzzCallerBody verifies that any body is answered with a refusal, without a
// panic, and that an invalid one is refused before admission. No endpoint can be
// reached, so no request is ever served.
func FuzzCallerBody(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","prompt":"p","max_tokens":3,"stream":true}`,
		`{"model":"m","messages":[{"role":"user","content":"p"}]}`,
		`{"model":"m","prompt":["p"]}`, `{"model":"m","prompt":"p","n":null}`, `{"max_tokens":1e99}`,
		`{"model":"m","messages":[null]}`, `[]`, `null`, "", "\x00", `{"model":"m","prompt":"\ud800"}`,
	} {
		f.Add(seed)
	}
	n := startTestNode(f)
	f.Fuzz(func(t *testing.T, body string) {
		for _, target := range []string{"/v1/completions", "/v1/chat/completions"} {
			before := n.downstreamCalls.Load()
			status, refused := n.send(t, newCall(http.MethodPost, target, body))
			if status < 400 || refused.Kind == "" || refused.Ran != refusal.RanNo {
				t.Errorf("got status %d and refusal %v, want an error status, a kind and ran no", status, refused)
			}
			reached := n.downstreamCalls.Load() > before
			if (refused.Kind == refusal.KindRetriesExhausted) != reached {
				t.Errorf("got downstream calls %t with refusal %v, want such calls only if retries are exhausted", reached, refused)
			}
		}
	})
}
