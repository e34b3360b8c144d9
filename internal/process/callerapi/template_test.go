package callerapi

import (
	"encoding/json"
	"testing"
)

// FuzzEventTemplate verifies that an event made from a template equals the event
// encoded by json.Marshal, for any model name and any text.
func FuzzEventTemplate(f *testing.F) {
	for _, seed := range []string{"a word ", "", "\"quoted\" \\ <b>&", "ljós\u2028\x00\xff", placeholderText, `"` + placeholderText + `"`, "\n\ndata: [DONE]\n\n"} {
		f.Add(seed, "m")
		f.Add("a ", seed)
	}
	f.Fuzz(func(t *testing.T, text, model string) {
		head := answerHead{ID: "id", Model: model, Created: 1}
		for _, format := range []answerFormat{textFormat{}, chatFormat{}} {
			template, err := newEventTemplate(format, head)
			if err != nil {
				t.Fatal(err)
			}
			got, err := template.appendEvent(nil, text)
			if err != nil {
				t.Fatal(err)
			}
			data, err := json.Marshal(format.streamEvent(head, text, nil))
			if err != nil {
				t.Fatal(err)
			}
			// json.Marshal omits an empty text from an event of the chat format.
			if want := "data: " + string(data) + "\n\n"; text != "" && string(got) != want {
				t.Errorf("got %q, want %q", got, want)
			}
		}
	})
}
