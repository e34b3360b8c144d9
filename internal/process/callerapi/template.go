package callerapi

import (
	"bytes"
	"encoding/json"
)

// templateText stands for the text of an event while its template is made.
const templateText = "text-of-the-event"

// eventTemplate is a streamed event of one answer, framed, around its text:
// every event but the last one differs in that alone.
type eventTemplate struct{ before, after []byte }

// newEventTemplate encodes one event and splits it at its text.
func newEventTemplate(format answerFormat, head answerHead) (eventTemplate, error) {
	data, err := json.Marshal(format.event(head, templateText, nil))
	if err != nil {
		return eventTemplate{}, err
	}
	marker := []byte(`"` + templateText + `"`)
	// The text comes after all that the caller chose.
	at := bytes.LastIndex(data, marker)
	return eventTemplate{
		before: append([]byte("data: "), data[:at]...),
		after:  append(bytes.Clone(data[at+len(marker):]), '\n', '\n'),
	}, nil
}

// appendEvent appends the event with its text.
func (t eventTemplate) appendEvent(buffer []byte, text string) ([]byte, error) {
	buffer = append(buffer, t.before...)
	buffer, err := appendString(buffer, text)
	return append(buffer, t.after...), err
}

// appendString appends a JSON string. Text that needs no escapes is copied.
func appendString(buffer []byte, text string) ([]byte, error) {
	if !isPlain(text) {
		data, err := json.Marshal(text)
		return append(buffer, data...), err
	}
	buffer = append(buffer, '"')
	buffer = append(buffer, text...)
	return append(buffer, '"'), nil
}

// isPlain reports whether json.Marshal would escape nothing in the text.
func isPlain(text string) bool {
	for i := range len(text) {
		switch c := text[i]; {
		case c < ' ' || c > '~':
			return false
		case c == '"' || c == '\\' || c == '<' || c == '>' || c == '&':
			return false
		}
	}
	return true
}
