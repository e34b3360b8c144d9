package callerapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/request/relay"
	"currantladder.example/currantladder/internal/request/share"
)

// Default and maximum of max_tokens.
const (
	defaultMaxTokens = 256
	maxTokensLimit   = 32_768
)

// completionBody has the fields of a completions request that are used. Fields
// that engines do not support are accepted and ignored.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens *int   `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	N         *int   `json:"n"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	completionBody
	Messages            []chatMessage `json:"messages"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
}

func invalidBody(err error) *refusal.Error {
	return refusal.New(refusal.KindBadRequest, http.StatusBadRequest, "the body is not a valid request: "+err.Error())
}

func (s *Server) completions(w http.ResponseWriter, r *http.Request, current *callerRequest) *refusal.Error {
	var body completionBody
	if err := json.Unmarshal(current.content.Bytes, &body); err != nil {
		return invalidBody(err)
	}
	current.content.Decoded()
	return s.complete(w, r, current, body, textFormat{})
}

func (s *Server) chatCompletions(w http.ResponseWriter, r *http.Request, current *callerRequest) *refusal.Error {
	var body chatBody
	if err := json.Unmarshal(current.content.Bytes, &body); err != nil {
		return invalidBody(err)
	}
	current.content.Decoded()
	if len(body.Messages) == 0 {
		return refusal.New(refusal.KindBadRequest, http.StatusBadRequest, "messages is empty; send at least one message")
	}
	if body.MaxTokens == nil {
		body.MaxTokens = body.MaxCompletionTokens
	}
	body.Prompt = chatPrompt(body.Messages)
	return s.complete(w, r, current, body.completionBody, chatFormat{})
}

// chatPrompt joins messages into the single prompt that engines accept.
func chatPrompt(messages []chatMessage) string {
	var prompt strings.Builder
	for _, message := range messages {
		prompt.WriteString(message.Role + ": " + message.Content + "\n")
	}
	prompt.WriteString("assistant: ")
	return prompt.String()
}

// complete validates, admits and runs one completion.
func (s *Server) complete(w http.ResponseWriter, r *http.Request, current *callerRequest, body completionBody, format answerFormat) *refusal.Error {
	maxTokens, refused := current.validate(body)
	if refused != nil {
		return refused
	}
	request := s.newRelayRequest(current, body, maxTokens)
	refuse, isolate := s.deps.Suspects.Check(request.Fingerprint, current.received)
	if refuse {
		return refusal.NewCrashSuspect()
	}
	request.Isolate = isolate
	admission, refused := s.deps.Limiter.Admit(current.account.Name, request.CostTokens, current.received)
	if refused != nil {
		return refused
	}
	return s.runCompletion(w, r, current, body.Stream, request, admission, format)
}

func (c *callerRequest) validate(body completionBody) (maxTokens int, refused *refusal.Error) {
	maxTokens = defaultMaxTokens
	if body.MaxTokens != nil {
		maxTokens = *body.MaxTokens
	}
	switch {
	case body.Prompt == "":
		return 0, refusal.New(refusal.KindBadRequest, http.StatusBadRequest, "prompt is empty; send a prompt")
	case body.N != nil && *body.N != 1:
		return 0, refusal.New(refusal.KindBadRequest, http.StatusBadRequest, "n must be 1; send one request for each answer")
	case maxTokens < 1 || maxTokens > maxTokensLimit:
		return 0, refusal.New(refusal.KindBadRequest, http.StatusBadRequest, fmt.Sprintf("max_tokens is %d; use 1 to %d", maxTokens, maxTokensLimit))
	case !c.snapshot.HasModel(body.Model):
		return 0, refusal.New(refusal.KindUnknownModel, http.StatusNotFound, fmt.Sprintf("model %q is not served; see GET /v1/models", body.Model))
	}
	return maxTokens, nil
}

func (s *Server) newRelayRequest(current *callerRequest, body completionBody, maxTokens int) relay.Request {
	return relay.Request{
		ID:          current.id,
		Account:     current.account.Name,
		Rank:        current.rank.Name,
		Model:       body.Model,
		Prompt:      body.Prompt,
		MaxTokens:   maxTokens,
		CostTokens:  int64(endpoint.CountTokens(body.Prompt) + maxTokens),
		Fingerprint: s.deps.Suspects.Fingerprint(body.Model, body.Prompt, maxTokens),
		Deadline:    current.deadline,
	}
}

// runCompletion runs an admitted request, relays its answer to the caller and
// settles the admission with the tokens used. It returns a refusal only if no
// byte of the answer was sent.
func (s *Server) runCompletion(w http.ResponseWriter, r *http.Request, current *callerRequest, stream bool, request relay.Request, admission share.Admission, format answerFormat) *refusal.Error {
	writer := newAnswerWriter(w, format, answerHead{ID: current.id, Model: request.Model, Created: current.received.Unix()}, stream)
	timing := newTokenTiming(current.received)
	result, refused := s.deps.Relay.Run(r.Context(), request, func(text string) error {
		timing.recordToken(time.Now())
		return writer.writeToken(text)
	})
	promptTokens := int64(endpoint.CountTokens(request.Prompt))
	admission.Settle(promptTokens + int64(timing.tokens))
	if refused == nil {
		sample := timing.sample(current)
		sample.Outcome = OutcomeComplete
		s.deps.Observer.Observe(sample)
		writer.finish(result)
		return nil
	}
	if !writer.started() {
		return refused
	}
	sample := timing.sample(current)
	sample.Outcome, sample.Kind = OutcomeUnknown, refused.Kind
	if callerLeft(r.Context()) {
		sample.Outcome = OutcomeCallerLeft
	}
	s.deps.Observer.Observe(sample)
	writer.abort(refused)
	return nil
}

// tokenTiming measures when the tokens of one answer arrive.
type tokenTiming struct {
	received  time.Time // arrival of the request
	lastToken time.Time
	// timeToFirstToken counts from the arrival of the request.
	timeToFirstToken time.Duration
	maxInterToken    time.Duration
	tokens           int
}

func newTokenTiming(received time.Time) *tokenTiming { return &tokenTiming{received: received} }

func (t *tokenTiming) recordToken(now time.Time) {
	t.tokens++
	if t.tokens == 1 {
		t.timeToFirstToken = now.Sub(t.received)
	} else {
		t.maxInterToken = max(t.maxInterToken, now.Sub(t.lastToken))
	}
	t.lastToken = now
}

func (t *tokenTiming) sample(current *callerRequest) Sample {
	return Sample{
		Rank:          current.rank.Name,
		Account:       current.account.Name,
		Class:         current.account.Class,
		FirstToken:    t.timeToFirstToken,
		MaxInterToken: t.maxInterToken,
		Tokens:        t.tokens,
	}
}

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	current := &callerRequest{snapshot: s.deps.View.Current()}
	if refused := s.authenticate(r, current); refused != nil {
		refused.Write(w)
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range current.snapshot.Models() {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "currantladder"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
