package callerapi_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"currantladder.example/currantladder/internal/standin/earlyanswer"
)

// TestServiceAnswerDuringItsUpload guards against a part of an answer that reaches a caller as
// the whole one, because it has no length and was reset while the call was still being written.
// An answer that comes to its end is delivered, also if its connection is reset after that.
func TestServiceAnswerDuringItsUpload(t *testing.T) {
	const rounds = 8
	const head = "HTTP/1.1 200 OK\r\n"
	for name, test := range map[string]struct {
		answer earlyanswer.Answer
		sound  bool
	}{
		"reset":                   {earlyanswer.Answer{Text: head + "\r\nbook", End: earlyanswer.Reset}, false},
		"reset, empty":            {earlyanswer.Answer{Text: head + "\r\n", End: earlyanswer.Reset}, false},
		"no length":               {earlyanswer.Answer{Text: head + "\r\nbooked", End: earlyanswer.ReadOn}, true},
		"no length, rest unread":  {earlyanswer.Answer{Text: head + "\r\nbooked", End: earlyanswer.LeaveUnread}, true},
		"with length":             {earlyanswer.Answer{Text: head + "Content-Length: 6\r\n\r\nbooked", End: earlyanswer.ReadOn}, true},
		"with length, reset":      {earlyanswer.Answer{Text: head + "Content-Length: 6\r\n\r\nbooked", End: earlyanswer.ResetAtOnce}, true},
		"no length, end, reset":   {earlyanswer.Answer{Text: head + "\r\nbooked", End: earlyanswer.EndAndReset}, true},
		"with length, cut, reset": {earlyanswer.Answer{Text: head + "Content-Length: 6\r\n\r\nbook", End: earlyanswer.Reset}, false},
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(fmt.Sprintf("%s, %s", name, method), func(t *testing.T) {
				t.Parallel()
				for range rounds {
					status, body := uploadToService(t, method, test.answer)
					if test.sound && (status != http.StatusOK || body != "booked") {
						t.Errorf("got status %d and body %q of a sound answer, want it", status, body)
					}
					if !test.sound && (status != http.StatusBadGateway || strings.Contains(body, `"ran":"no"`)) {
						t.Errorf("got status %d and body %q of an answer that was reset, want 502 for a call that may have run", status, body)
					}
				}
			})
		}
	}
}

// uploadToService sends a call with a long body through a node, to a service that answers
// before it has read it.
func uploadToService(t *testing.T, method string, answer earlyanswer.Answer) (status int, body string) {
	t.Helper()
	service, err := earlyanswer.Start(func(*http.Request) earlyanswer.Answer { return answer })
	if err != nil {
		t.Fatal(err)
	}
	defer service.Close()
	return callServiceAt(t, service.Address(), method, "", make([]byte, earlyanswer.UploadBytes))
}
