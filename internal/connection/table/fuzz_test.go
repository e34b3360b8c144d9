package table

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// fixedResponse is a transport that returns the same response to every call.
type fixedResponse struct {
	status int
	body   string
}

// RoundTrip implements http.RoundTripper.
func (f fixedResponse) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: f.status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(f.body)), Request: r}, nil
}

// FuzzClientAnswers verifies that the client infers nothing that a response
// does not state: a commit counts as applied only if the response says so or
// the row has the nonce, reads return only what was requested, and every call
// ends.
func FuzzClientAnswers(f *testing.F) {
	for status, body := range map[int]string{
		200: `{"committed":true}`,
		409: `{"committed":true}`,
		429: ``,
		500: `{"committed":true}`,
		503: `{"error":"outage"}`,
	} {
		f.Add(status, body)
	}
	for _, body := range []string{
		`{"committed":false,"conflicts":["a"]}`,
		`{"committed":true} trailing`,
		`{"committed":tr`,
		`{"key":"p/a","version":2,"nonce":"n"}`,
		`{"key":"b","version":2,"nonce":"n"}`,
		`{"rows":[{"key":"p/a","version":1},{"key":"p/b","version":1}],"more":false}`,
		`{"rows":[{"key":"p/a","version":1}],"more":true}`,
		`{"rows":[{"key":"p/b","version":1},{"key":"p/a","version":1}]}`,
		`{"rows":[{"key":"q","version":1}]}`,
		`null`,
	} {
		f.Add(200, body)
	}
	f.Fuzz(func(t *testing.T, status int, body string) {
		client := NewClient("http://table:80", &http.Client{Transport: fixedResponse{status, body}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }})
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			checkCommit(ctx, t, client, status, body)
			checkGet(ctx, t, client, status)
			checkList(ctx, t, client, status)
		})
	})
}

func checkCommit(ctx context.Context, t *testing.T, client *Client, status int, body string) {
	err := client.Commit(ctx, Txn{Nonce: "n", Writes: []Write{{Key: "p/a", Expect: 1}}})
	var result CommitResult
	decoded := json.Unmarshal([]byte(body), &result) == nil
	if err == nil && (status != 200 || !decoded || !result.Committed) {
		t.Error("Commit returned nil for a response that does not report a commit")
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) && (status != 200 || len(result.Conflicts) == 0) {
		t.Error("Commit returned a conflict for a response that names none")
	}
	if errors.Is(err, ErrUnavailable) && status == 200 {
		t.Error("Commit returned ErrUnavailable for a response with status 200, want another result")
	}
}

func checkGet(ctx context.Context, t *testing.T, client *Client, status int) {
	row, err := client.Get(ctx, "p/a")
	if err == nil && (status != 200 || row.Key != "p/a") {
		t.Errorf("status %d: Get returned row %q, want row p/a with status 200 or an error", status, row.Key)
	}
}

func checkList(ctx context.Context, t *testing.T, client *Client, status int) {
	rows, err := client.List(ctx, Range{Prefix: "p/"})
	if err == nil && status != 200 {
		t.Errorf("status %d: List returned %d rows, want an error", status, len(rows))
	}
	for i, row := range rows {
		if !strings.HasPrefix(row.Key, "p/") || i > 0 && rows[i-1].Key >= row.Key {
			t.Errorf("List returned row %q outside the prefix or out of order", row.Key)
		}
	}
}
