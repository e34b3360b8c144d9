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

// fixedAnswer is a transport that gives every call the same answer.
type fixedAnswer struct {
	status int
	body   string
}

// RoundTrip implements http.RoundTripper.
func (f fixedAnswer) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: f.status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(f.body)), Request: r}, nil
}

// FuzzClientAnswers checks that the client believes nothing that an answer
// does not say: a commit counts as applied only where the service said so or
// the row carries the nonce, reads return only what was asked for, and every
// call ends.
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
		client := NewClient("http://table:80", &http.Client{Transport: fixedAnswer{status, body}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }})
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
	var said CommitResult
	decoded := json.Unmarshal([]byte(body), &said) == nil
	if err == nil && (status != 200 || !decoded || !said.Committed) {
		t.Error("a commit counts as applied without an answer that says so")
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) && (status != 200 || len(said.Conflicts) == 0) {
		t.Error("a commit counts as a conflict without an answer that names one")
	}
	if errors.Is(err, ErrUnavailable) && status == 200 {
		t.Error("an answered commit counts as without effect")
	}
}

func checkGet(ctx context.Context, t *testing.T, client *Client, status int) {
	row, err := client.Get(ctx, "p/a")
	if err == nil && (status != 200 || row.Key != "p/a") {
		t.Errorf("status %d yields row %q", status, row.Key)
	}
}

func checkList(ctx context.Context, t *testing.T, client *Client, status int) {
	rows, err := client.List(ctx, Range{Prefix: "p/"})
	if err == nil && status != 200 {
		t.Errorf("status %d yields %d rows", status, len(rows))
	}
	for i, row := range rows {
		if !strings.HasPrefix(row.Key, "p/") || i > 0 && rows[i-1].Key >= row.Key {
			t.Errorf("row %q is out of place", row.Key)
		}
	}
}
