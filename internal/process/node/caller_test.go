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

// answer is what a caller got.
type answer struct {
	call    completion
	status  int
	text    string
	done    bool // the terminal event, or a whole JSON answer, was read
	refused *refusal.Error
	err     error
	first   time.Duration
	took    time.Duration
}

// event is one streamed event or whole JSON answer.
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
	defer func() { a.took = time.Since(started) }()
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
	if a.status == http.StatusOK && c.stream {
		a.readEvents(response.Body, started)
		return a
	}
	var whole event
	a.err = json.NewDecoder(response.Body).Decode(&whole)
	a.add(whole)
	a.done = a.err == nil && a.refused == nil
	return a
}

func (a *answer) readEvents(body io.Reader, started time.Time) {
	reader := endpoint.NewEventReader(body)
	for {
		data, err := reader.Next(nil)
		if errors.Is(err, io.EOF) {
			a.done = true
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
		if a.first == 0 {
			a.first = time.Since(started)
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

// expected returns the tokens of an answer.
func expected(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(engine.Token(testModel, prompt, i))
	}
	return b.String()
}

// check reports an answer that is neither whole nor visibly not whole, and
// returns whether it is whole.
func (a answer) check(t *testing.T) bool {
	t.Helper()
	want := expected(a.call.prompt, a.call.tokens)
	switch {
	case a.done && a.text != want:
		t.Errorf("%q ended as whole with %q, want %q", a.call.prompt, a.text, want)
	case !strings.HasPrefix(want, a.text):
		t.Errorf("%q got tokens that are not its own: %q", a.call.prompt, a.text)
	case !a.done && a.err == nil && a.refused == nil:
		t.Errorf("%q ended without an error: %+v", a.call.prompt, a)
	}
	return a.done
}

// pending collects answers of calls that run side by side.
type pending struct {
	f       *fleet
	answers chan answer
	calls   atomic.Int64
}

func (f *fleet) newPending() *pending { return &pending{f: f, answers: make(chan answer, 4096)} }

func (p *pending) start(c completion) {
	p.calls.Add(1)
	p.f.duties.Go(func() { p.answers <- p.f.call(context.Background(), c) })
}

// wait returns all answers.
func (p *pending) wait() []answer {
	var all []answer
	for range p.calls.Load() {
		all = append(all, <-p.answers)
	}
	return all
}
