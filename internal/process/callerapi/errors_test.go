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

// refuseDial is a network without endpoints.
func refuseDial(context.Context, string, string) (net.Conn, error) {
	return nil, errors.New("connection refused")
}

// startPath returns a path without endpoints that ends with the test.
func startPath(t testing.TB) *path {
	ctx, cancel := context.WithCancel(context.Background())
	p := newPath(ctx, endpoint.NewClientOver(refuseDial), "engine", "desk", 4)
	t.Cleanup(func() {
		cancel()
		p.home.Wait()
	})
	return p
}

// send passes one request to the handler and decodes its refusal.
func (p *path) send(t testing.TB, r *http.Request) (int, *refusal.Error) {
	t.Helper()
	recorder := httptest.NewRecorder()
	p.handler.ServeHTTP(recorder, r)
	var body refusal.Body
	if err := json.Unmarshal(recorder.Body.Bytes(), &body); err != nil || body.Error == nil {
		t.Fatalf("status %d without a refusal: %s", recorder.Code, recorder.Body)
	}
	return recorder.Code, body.Error
}

func newCall(method, path, body string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testKey)
	return r
}

// TestFaultyRequestsReachNothing covers every error that a caller can make:
// each has its kind and status, and is found before a share is taken, a claim
// made or an endpoint called.
func TestFaultyRequestsReachNothing(t *testing.T) {
	const good = `{"model":"m","prompt":"p","max_tokens":3}`
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
		{"no key", "/v1/completions", good, func(r *http.Request) { r.Header.Del("Authorization") }, refusal.KindUnauthorized, 401},
		{"wrong key", "/v1/completions", good, header("Authorization", "Bearer other"), refusal.KindUnauthorized, 401},
		{"wrong scheme", "/v1/completions", good, header("Authorization", "Basic "+testKey), refusal.KindUnauthorized, 401},
		{"wrong key of a service", "/services/booking/book", "{}", header("Authorization", "Bearer other"), refusal.KindUnauthorized, 401},
		{"unknown rank", "/v1/completions", good, header(callerapi.HeaderRank, "soon"), refusal.KindUnknownRank, 400},
		{"rank not allowed", "/v1/completions", good, header(callerapi.HeaderRank, "batch"), refusal.KindRankNotAllowed, 403},
		{"timeout is no number", "/v1/completions", good, header(callerapi.HeaderTimeout, "1s"), refusal.KindBadRequest, 400},
		{"timeout is not positive", "/v1/completions", good, header(callerapi.HeaderTimeout, "0"), refusal.KindBadRequest, 400},
		{"timeout of years", "/v1/completions", good, header(callerapi.HeaderTimeout, "9223372036854775807"), refusal.KindBadRequest, 400},
		{"body too large", "/v1/completions", strings.Repeat(" ", maxBodyBytes) + good, nil, refusal.KindBodyTooLarge, 413},
		{"body of a service too large", "/services/booking/book", strings.Repeat(" ", maxBodyBytes+1), nil, refusal.KindBodyTooLarge, 413},
		{"no JSON", "/v1/completions", "prompt=p", nil, refusal.KindBadRequest, 400},
		{"cut JSON", "/v1/completions", good[:20], nil, refusal.KindBadRequest, 400},
		{"wrong type", "/v1/chat/completions", `{"model":"m","messages":"p"}`, nil, refusal.KindBadRequest, 400},
		{"no prompt", "/v1/completions", `{"model":"m"}`, nil, refusal.KindBadRequest, 400},
		{"no messages", "/v1/chat/completions", `{"model":"m"}`, nil, refusal.KindBadRequest, 400},
		{"several answers", "/v1/completions", `{"model":"m","prompt":"p","n":2}`, nil, refusal.KindBadRequest, 400},
		{"no tokens", "/v1/completions", `{"model":"m","prompt":"p","max_tokens":0}`, nil, refusal.KindBadRequest, 400},
		{"too many tokens", "/v1/completions", `{"model":"m","prompt":"p","max_tokens":99999999}`, nil, refusal.KindBadRequest, 400},
		{"unknown model", "/v1/completions", `{"model":"x","prompt":"p"}`, nil, refusal.KindUnknownModel, 404},
		{"unknown service", "/services/other/book", "{}", nil, refusal.KindUnknownService, 404},
		{"long idempotency key", "/services/booking/book", "{}", header(callerapi.HeaderIdempotencyKey, strings.Repeat("k", 256)), refusal.KindBadRequest, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startPath(t)
			r := newCall(http.MethodPost, c.path, c.body)
			if c.change != nil {
				c.change(r)
			}
			status, refused := p.send(t, r)
			if refused.Kind != c.kind || status != c.status || refused.Ran != refusal.RanNo {
				t.Errorf("got status %d, %v; want %d, %s", status, refused, c.status, c.kind)
			}
			if refused.RequestID == "" || refused.Message == "" {
				t.Errorf("the refusal names no request or remedy: %+v", refused)
			}
			if n := p.touched.Load(); n != 0 {
				t.Errorf("%d shares, claims or homes were asked", n)
			}
		})
	}
}

// FuzzCallerBody checks that any body ends in one refusal, without a panic,
// and that a faulty one reaches nothing. There is no endpoint, so that nothing
// is ever served.
func FuzzCallerBody(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","prompt":"p","max_tokens":3,"stream":true}`,
		`{"model":"m","messages":[{"role":"user","content":"p"}]}`,
		`{"model":"m","prompt":["p"]}`, `{"model":"m","prompt":"p","n":null}`, `{"max_tokens":1e99}`,
		`{"model":"m","messages":[null]}`, `[]`, `null`, "", "\x00", `{"model":"m","prompt":"\ud800"}`,
	} {
		f.Add(seed)
	}
	p := startPath(f)
	f.Fuzz(func(t *testing.T, body string) {
		for _, target := range []string{"/v1/completions", "/v1/chat/completions"} {
			before := p.touched.Load()
			status, refused := p.send(t, newCall(http.MethodPost, target, body))
			if status < 400 || refused.Kind == "" || refused.Ran != refusal.RanNo {
				t.Errorf("status %d, %v", status, refused)
			}
			reached := p.touched.Load() > before
			if (refused.Kind == refusal.KindRetriesExhausted) != reached {
				t.Errorf("reached the home: %t, told %v", reached, refused)
			}
		}
	})
}
