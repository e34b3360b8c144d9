package callerapi_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"currantladder.example/currantladder/internal/connection/endpoint"
)

// unreadBody fails a test if it is read.
type unreadBody struct{ t *testing.T }

// Read implements io.Reader.
func (b unreadBody) Read([]byte) (int, error) {
	b.t.Error("the body is read, want a refusal from the head alone")
	return 0, io.EOF
}

// TestHeadIsCheckedBeforeTheBody guards against bodies that are read, and held, although the
// head alone shows that the request is refused.
func TestHeadIsCheckedBeforeTheBody(t *testing.T) {
	client := endpoint.NewClient()
	defer client.Close()
	node := newTestNode(t.Context(), client, "", "", 1)
	for name, test := range map[string]struct {
		path, key string
		announced int64
		want      int
	}{
		"unknown path":    {"/nowhere", testKey, 100, http.StatusNotFound},
		"unknown service": {"/services/unknown/1", testKey, 100, http.StatusNotFound},
		"unknown key":     {"/services/booking/1", "other", 100, http.StatusUnauthorized},
		"too long":        {"/v1/completions", testKey, maxBodyBytes + 1, http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, test.path, unreadBody{t})
			r.ContentLength = test.announced
			r.Header.Set("Authorization", "Bearer "+test.key)
			r.Header.Set("X-Rank", "urgent")
			recorder := httptest.NewRecorder()
			node.handler.ServeHTTP(recorder, r)
			if recorder.Code != test.want {
				t.Errorf("got status %d, want %d", recorder.Code, test.want)
			}
		})
	}
}
