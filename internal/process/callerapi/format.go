package callerapi

import (
	"encoding/json"
	"net/http"
	"strings"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/request/relay"
)

// answerHead has the fields that are the same in every event of one answer.
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

// completionAnswer is the body of a complete answer or of one streamed event.
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

// answerFormat builds the bodies of the text or the chat completions API.
type answerFormat interface {
	// streamEvent returns one streamed event; finish is nil except for the last
	// one.
	streamEvent(head answerHead, text string, finish *endpoint.FinishReason) completionAnswer
	// completeAnswer returns an answer that is not streamed.
	completeAnswer(head answerHead, text string, finish endpoint.FinishReason) completionAnswer
}

type textFormat struct{}

func (textFormat) streamEvent(head answerHead, text string, finish *endpoint.FinishReason) completionAnswer {
	return newAnswer(head, "text_completion", completionChoice{Text: &text, FinishReason: finish})
}

func (textFormat) completeAnswer(head answerHead, text string, finish endpoint.FinishReason) completionAnswer {
	return newAnswer(head, "text_completion", completionChoice{Text: &text, FinishReason: &finish})
}

type chatFormat struct{}

func (chatFormat) streamEvent(head answerHead, text string, finish *endpoint.FinishReason) completionAnswer {
	delta := &chatDelta{Content: text}
	return newAnswer(head, "chat.completion.chunk", completionChoice{Delta: delta, FinishReason: finish})
}

func (chatFormat) completeAnswer(head answerHead, text string, finish endpoint.FinishReason) completionAnswer {
	message := &chatMessage{Role: "assistant", Content: text}
	return newAnswer(head, "chat.completion", completionChoice{Message: message, FinishReason: &finish})
}

func newAnswer(head answerHead, kind string, choice completionChoice) completionAnswer {
	return completionAnswer{ID: head.ID, Object: kind, Created: head.Created, Model: head.Model, Choices: []completionChoice{choice}}
}

// answerWriter writes one answer to the caller, either streamed or as one body.
type answerWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	format  answerFormat
	head    answerHead
	stream  bool
	begun   bool
	text    strings.Builder
	// template and buffer are used for all token events.
	template eventTemplate
	buffer   []byte
}

func newAnswerWriter(w http.ResponseWriter, format answerFormat, head answerHead, stream bool) *answerWriter {
	return &answerWriter{w: w, control: http.NewResponseController(w), format: format, head: head, stream: stream}
}

// started reports whether a streamed answer was begun.
func (a *answerWriter) started() bool { return a.begun }

// writeToken sends a token event, or collects the text of an answer that is not
// streamed.
func (a *answerWriter) writeToken(text string) error {
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
	return a.writeAndFlush(event)
}

// begin sets the headers and creates the template before the first event.
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

// writeEvent sends body as an event, without the template of token events.
func (a *answerWriter) writeEvent(body any) error {
	if err := a.begin(); err != nil {
		return err
	}
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return a.writeData(data)
}

// writeData sends data as one server-sent event.
func (a *answerWriter) writeData(data []byte) error {
	event := append(a.buffer[:0], "data: "...)
	event = append(event, data...)
	return a.writeAndFlush(append(event, '\n', '\n'))
}

// writeAndFlush sends one framed event and keeps its slice as the buffer of the
// next one.
func (a *answerWriter) writeAndFlush(event []byte) error {
	a.buffer = event
	if _, err := a.w.Write(event); err != nil {
		return err
	}
	return a.control.Flush()
}

// finish completes an answer. A streamed one ends with an event that contains the
// usage and with the terminal event; any other one is sent as a single body.
func (a *answerWriter) finish(result relay.Result) {
	usage := &completionUsage{
		PromptTokens:     result.Usage.PromptTokens,
		CompletionTokens: result.Usage.CompletionTokens,
		TotalTokens:      result.Usage.PromptTokens + result.Usage.CompletionTokens,
	}
	if a.stream {
		last := a.format.streamEvent(a.head, "", &result.Finish)
		last.Usage = usage
		if a.writeEvent(last) == nil {
			_ = a.writeData([]byte(endpoint.DoneMarker))
		}
		return
	}
	answer := a.format.completeAnswer(a.head, a.text.String(), result.Finish)
	answer.Usage = usage
	a.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(a.w).Encode(answer)
}

// abort sends the caller an error event for a started answer and then aborts
// the connection, so that no client takes the answer for a complete one.
func (a *answerWriter) abort(refused *refusal.Error) {
	_ = a.writeEvent(refusal.Body{Error: refused})
	panic(http.ErrAbortHandler)
}
