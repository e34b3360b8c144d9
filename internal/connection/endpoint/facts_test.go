package endpoint

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestFactsOfAnswersAreDecoded guards against a word of an endpoint that is missed, and
// a time out of bounds.
func TestFactsOfAnswersAreDecoded(t *testing.T) {
	for name, test := range map[string]struct {
		status int
		header string
		length int
		want   Facts
	}{
		"nothing":                      {503, "", 0, Facts{}},
		"wait":                         {503, "Retry-After: 2\r\n", 0, Facts{Wait: 2 * time.Second}},
		"part of a second":             {503, "Retry-After: 0.25\r\n", 0, Facts{Wait: 250 * time.Millisecond}},
		"head of an answer that broke": {503, "Retry-After: 2\r\n", 9, Facts{Wait: 2 * time.Second}},
		"answer that is too large":     {503, "Retry-After: 2\r\n", MaxAnswerBytes + 1, Facts{Wait: 2 * time.Second}},
		"leaves":                       {200, "Endpoint-Leaving: 1\r\n", 0, Facts{Leaving: true}},
		"leaves and refuses":           {503, "Endpoint-Leaving: 1\r\nRetry-After: 2\r\n", 0, Facts{Leaving: true, Wait: 2 * time.Second}},
		"leaves in a broken answer":    {200, "Endpoint-Leaving: 1\r\n", 9, Facts{Leaving: true}},
		"another value":                {200, "Endpoint-Leaving: 0\r\n", 0, Facts{}},
		"wait with another status":     {429, "Retry-After: 2\r\n", 0, Facts{}},
		"negative wait":                {503, "Retry-After: -1\r\n", 0, Facts{}},
		"wait that is no number":       {503, "Retry-After: soon\r\n", 0, Facts{}},
		"wait that is a date":          {503, "Retry-After: Sat, 05 Dec 2026 17:00:00 GMT\r\n", 0, Facts{}},
		"wait that is not a number":    {503, "Retry-After: NaN\r\n", 0, Facts{}},
		"huge wait":                    {503, "Retry-After: 1e300\r\n", 0, Facts{Wait: MaxWait}},
		"infinite wait":                {503, "Retry-After: Inf\r\n", 0, Facts{Wait: MaxWait}},
		"number too large for a float": {503, "Retry-After: 1e400\r\n", 0, Facts{}},
	} {
		t.Run(name, func(t *testing.T) {
			text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", test.status, http.StatusText(test.status), test.header, test.length)
			if test.length > MaxAnswerBytes {
				text += string(make([]byte, test.length))
			}
			address := serveBytes(t, func(int, string) (string, bool) { return text, true })
			client := NewClient()
			defer client.Close()
			answer, err := callWithID(client, address, "r1")
			if answer.Facts != test.want || (err == nil) != (test.length == 0) {
				t.Errorf("got %+v and error %v, want %+v", answer.Facts, err, test.want)
			}
		})
	}
}
