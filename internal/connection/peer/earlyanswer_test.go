package peer

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/standin/earlyanswer"
)

// TestPeerAnswerDuringItsUpload guards against an answer of another node that is lost, or
// taken for whole, because its connection fails while the request is still being written. A
// refusal that is lost counts as a request that may have run.
func TestPeerAnswerDuringItsUpload(t *testing.T) {
	const (
		rounds  = 8
		frames  = "data: {\"chunk\":{}}\n\ndata: [DONE]\n\n"
		refused = `{"error":{"kind":"overloaded","message":"full","ran":"no"}}`
	)
	withLength := func(status, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	unframed := "HTTP/1.1 200 OK\r\n\r\n"
	for name, test := range map[string]struct {
		answer earlyanswer.Answer
		check  func(error) bool
	}{
		"frames":                        {earlyanswer.Answer{Text: unframed + frames, End: earlyanswer.LeaveUnread}, isWhole},
		"frames, reset":                 {earlyanswer.Answer{Text: withLength("200 OK", frames), End: earlyanswer.ResetAtOnce}, isWhole},
		"refusal":                       {earlyanswer.Answer{Text: withLength("503 Service Unavailable", refused), End: earlyanswer.LeaveUnread}, isRefusal},
		"refusal, reset":                {earlyanswer.Answer{Text: withLength("503 Service Unavailable", refused), End: earlyanswer.ResetAtOnce}, isRefusal},
		"frames without the end":        {earlyanswer.Answer{Text: unframed + frames[:20], End: earlyanswer.LeaveUnread}, mayHaveRun},
		"frames without the end, reset": {earlyanswer.Answer{Text: unframed + frames[:20], End: earlyanswer.Reset}, mayHaveRun},
		"no frame, reset":               {earlyanswer.Answer{Text: unframed, End: earlyanswer.Reset}, mayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range rounds {
				home, err := earlyanswer.Start(func(*http.Request) earlyanswer.Answer { return test.answer })
				if err != nil {
					t.Fatal(err)
				}
				client := NewClient("key", nil)
				prompt := strings.Repeat("x", earlyanswer.UploadBytes)
				err = client.Generate(t.Context(), home.Address(), HomeRequest{RequestID: "r", Prompt: prompt}, func(Frame) error { return nil })
				if !test.check(err) || home.Requests() != 1 {
					t.Errorf("got error %v after %d requests", err, home.Requests())
				}
				client.Close()
				home.Close()
			}
		})
	}
}

func isWhole(err error) bool { return err == nil }

func isRefusal(err error) bool {
	var link *LinkError
	return errors.As(err, &link) && !link.MaybeSent && errors.As(err, new(*refusal.Error))
}

func mayHaveRun(err error) bool {
	var link *LinkError
	return errors.As(err, &link) && link.MaybeSent
}
