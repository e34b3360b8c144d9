package callerapi

import (
	"encoding/json"
	"net/http"
	"strings"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/request/relay"
)

// answerHead holds the fields that every event of one answer repeats.
type answerHead struct {
	ID      string
	Model   string
	Created int64
}

// completionUsage is the usage object of the completions API.
type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// completionAnswer is one answer or one streamed event of the API.
type completionAnswer struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int                    `json:"index"`
	Text         *string                `json:"text,omitempty"`
	Message      *chatMessage           `json:"message,omitempty"`
	Delta        *chatDelta             `json:"delta,omitempty"`
	FinishReason *endpoint.FinishReason `json:"finish_reason"`
}

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// answerFormat builds the bodies of one flavour of the API.
type answerFormat interface {
	// event returns one streamed event; finish is nil but for the last one.
	event(head answerHead, text string, finish *endpoint.FinishReason) completionAnswer
	// whole returns an answer that is not streamed.
	whole(head answerHead, text string, finish endpoint.FinishReason) completionAnswer
}

type textFormat struct{}

func (textFormat) event(head answerHead, text string, finish *endpoint.FinishReason) completionAnswer {
	return newAnswer(head, "text_completion", completionChoice{Text: &text, FinishReason: finish})
}

func (textFormat) whole(head answerHead, text string, finish endpoint.FinishReason) completionAnswer {
	return newAnswer(head, "text_completion", completionChoice{Text: &text, FinishReason: &finish})
}

type chatFormat struct{}

func (chatFormat) event(head answerHead, text string, finish *endpoint.FinishReason) completionAnswer {
	delta := &chatDelta{Content: text}
	return newAnswer(head, "chat.completion.chunk", completionChoice{Delta: delta, FinishReason: finish})
}

func (chatFormat) whole(head answerHead, text string, finish endpoint.FinishReason) completionAnswer {
	message := &chatMessage{Role: "assistant", Content: text}
	return newAnswer(head, "chat.completion", completionChoice{Message: message, FinishReason: &finish})
}

func newAnswer(head answerHead, kind string, choice completionChoice) completionAnswer {
	return completionAnswer{ID: head.ID, Object: kind, Created: head.Created, Model: head.Model, Choices: []completionChoice{choice}}
}

// answerWriter writes one answer, streamed or whole.
type answerWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	format  answerFormat
	head    answerHead
	stream  bool
	begun   bool
	text    strings.Builder
	// template and buffer are reused by every event.
	template eventTemplate
	buffer   []byte
}

func newAnswerWriter(w http.ResponseWriter, format answerFormat, head answerHead, stream bool) *answerWriter {
	return &answerWriter{w: w, control: http.NewResponseController(w), format: format, head: head, stream: stream}
}

// started reports whether bytes of the answer were sent.
func (a *answerWriter) started() bool { return a.begun }

func (a *answerWriter) token(text string) error {
	if !a.stream {
		a.text.WriteString(text)
		return nil
	}
	if err := a.begin(); err != nil {
		return err
	}
	event, err := a.template.appendEvent(a.buffer[:0], text)
	if err != nil {
		return err
	}
	return a.flush(event)
}

// begin sends the header and makes the template before the first event.
func (a *answerWriter) begin() (err error) {
	if a.begun {
		return nil
	}
	a.begun = true
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set("Cache-Control", "no-cache")
	a.template, err = newEventTemplate(a.format, a.head)
	return err
}

// send sends an event that is not one of a token.
func (a *answerWriter) send(body any) error {
	if err := a.begin(); err != nil {
		return err
	}
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return a.sendRaw(data)
}

func (a *answerWriter) sendRaw(data []byte) error {
	event := append(a.buffer[:0], "data: "...)
	event = append(event, data...)
	return a.flush(append(event, '\n', '\n'))
}

// flush writes one framed event and keeps its buffer.
func (a *answerWriter) flush(event []byte) error {
	a.buffer = event
	if _, err := a.w.Write(event); err != nil {
		return err
	}
	return a.control.Flush()
}

// finish ends a whole answer with its usage and terminal event.
func (a *answerWriter) finish(result relay.Result) {
	usage := &completionUsage{
		PromptTokens:     result.Usage.PromptTokens,
		CompletionTokens: result.Usage.CompletionTokens,
		TotalTokens:      result.Usage.PromptTokens + result.Usage.CompletionTokens,
	}
	if a.stream {
		last := a.format.event(a.head, "", &result.Finish)
		last.Usage = usage
		if a.send(last) == nil {
			_ = a.sendRaw([]byte(endpoint.DoneMarker))
		}
		return
	}
	whole := a.format.whole(a.head, a.text.String(), result.Finish)
	whole.Usage = usage
	a.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(a.w).Encode(whole)
}

// abort tells the caller that a started answer is not whole, then breaks the
// connection so that no client takes it for a whole one.
func (a *answerWriter) abort(refused *refusal.Error) {
	_ = a.send(refusal.Body{Error: refused})
	panic(http.ErrAbortHandler)
}
