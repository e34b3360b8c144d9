package callerapi

import (
	"bytes"
	"encoding/json"
)

// placeholderText is the text of the event from which a template is made.
const placeholderText = "text-of-the-event"

// eventTemplate is the encoding of a streamed event before and after its text.
// All events of one answer except the last one differ only in their text.
type eventTemplate struct{ before, after []byte }

// newEventTemplate encodes an event with placeholderText and splits it there.
func newEventTemplate(format answerFormat, head answerHead) (eventTemplate, error) {
	data, err := json.Marshal(format.streamEvent(head, placeholderText, nil))
	if err != nil {
		return eventTemplate{}, err
	}
	marker := []byte(`"` + placeholderText + `"`)
	// The last match is the text: all values that the caller chose come before
	// it.
	index := bytes.LastIndex(data, marker)
	return eventTemplate{
		before: append([]byte("data: "), data[:index]...),
		after:  append(bytes.Clone(data[index+len(marker):]), '\n', '\n'),
	}, nil
}

// appendEvent appends the encoded event with the given text to buffer.
func (t eventTemplate) appendEvent(buffer []byte, text string) ([]byte, error) {
	buffer = append(buffer, t.before...)
	buffer, err := appendJSONString(buffer, text)
	return append(buffer, t.after...), err
}

// appendJSONString appends text as a JSON string. Text that needs no escapes is
// copied.
func appendJSONString(buffer []byte, text string) ([]byte, error) {
	if !needsNoEscape(text) {
		data, err := json.Marshal(text)
		return append(buffer, data...), err
	}
	buffer = append(buffer, '"')
	buffer = append(buffer, text...)
	return append(buffer, '"'), nil
}

// needsNoEscape reports whether json.Marshal would encode the text without
// escapes. It may be false for text outside ASCII that needs none.
func needsNoEscape(text string) bool {
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
