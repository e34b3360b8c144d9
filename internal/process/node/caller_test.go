package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/process/callerapi"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/standin/engine"
)

// completion is one call of the completions API.
type completion struct {
	node   string
	rank   string
	prompt string
	tokens int
	stream bool
}

// answer is the result of a completion as its caller received it.
type answer struct {
	call             completion
	status           int
	text             string
	complete         bool // the terminal event, or an entire JSON answer, was read
	refused          *refusal.Error
	retryAfter       string // header, in seconds
	err              error
	timeToFirstToken time.Duration
	duration         time.Duration
}

// event is one streamed event or an entire JSON answer.
type event struct {
	Error   *refusal.Error `json:"error"`
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// call sends a completion and reads the answer to its end.
func (f *fleet) call(ctx context.Context, c completion) (a answer) {
	a.call = c
	started := time.Now()
	defer func() { a.duration = time.Since(started) }()
	body, _ := json.Marshal(map[string]any{"model": testModel, "prompt": c.prompt, "max_tokens": c.tokens, "stream": c.stream})
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callerAddress(c.node)+"/v1/completions", struct{ io.Reader }{bytes.NewReader(body)})
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set(callerapi.HeaderRank, c.rank)
	response, err := f.callers.Do(request)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	a.retryAfter = response.Header.Get("Retry-After")
	if a.status == http.StatusOK && c.stream {
		a.readStream(response.Body, started)
		return a
	}
	var single event
	a.err = json.NewDecoder(response.Body).Decode(&single)
	a.add(single)
	a.complete = a.err == nil && a.refused == nil
	return a
}

func (a *answer) readStream(body io.Reader, started time.Time) {
	reader := endpoint.NewEventReader(body)
	for {
		data, err := reader.Next(nil)
		if errors.Is(err, io.EOF) {
			a.complete = true
			return
		}
		var next event
		if err == nil {
			err = json.Unmarshal(data, &next)
		}
		if err != nil {
			a.err = err
			return
		}
		if a.timeToFirstToken == 0 {
			a.timeToFirstToken = time.Since(started)
		}
		a.add(next)
	}
}

func (a *answer) add(e event) {
	a.refused = e.Error
	for _, choice := range e.Choices {
		a.text += choice.Text
	}
}

// expectedText returns the text of a complete answer to the prompt.
func expectedText(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(engine.Token(testModel, prompt, i))
	}
	return b.String()
}

// check verifies that the answer has only tokens of its own prompt, and that it
// is either complete or ended with an error. It returns whether it is complete.
func (a answer) check(t *testing.T) bool {
	t.Helper()
	want := expectedText(a.call.prompt, a.call.tokens)
	switch {
	case a.complete && a.text != want:
		t.Errorf("%q: complete answer: got %q, want %q", a.call.prompt, a.text, want)
	case !strings.HasPrefix(want, a.text):
		t.Errorf("%q: got %q, want only tokens of its own answer", a.call.prompt, a.text)
	case !a.complete && a.err == nil && a.refused == nil:
		t.Errorf("%q: incomplete answer: got no error, want one: %+v", a.call.prompt, a)
	}
	return a.complete
}

// callGroup runs calls concurrently and collects their answers.
type callGroup struct {
	f       *fleet
	answers chan answer
	calls   atomic.Int64
}

func (f *fleet) newCallGroup() *callGroup { return &callGroup{f: f, answers: make(chan answer, 4096)} }

// start sends a call in its own goroutine.
func (g *callGroup) start(c completion) {
	g.calls.Add(1)
	g.f.background.Go(func() { g.answers <- g.f.call(context.Background(), c) })
}

// wait returns the answers of all calls once they have ended.
func (g *callGroup) wait() []answer {
	var all []answer
	for range g.calls.Load() {
		all = append(all, <-g.answers)
	}
	return all
}
