package callerapi

import (
	"encoding/json"
	"testing"
)

// FuzzEventTemplate checks that a templated event is what encoding it whole
// gives, whatever the caller and the engine put into it.
func FuzzEventTemplate(f *testing.F) {
	for _, seed := range []string{"a word ", "", "\"quoted\" \\ <b>&", "ljós\u2028\x00\xff", templateText, `"` + templateText + `"`, "\n\ndata: [DONE]\n\n"} {
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
			data, err := json.Marshal(format.event(head, text, nil))
			if err != nil {
				t.Fatal(err)
			}
			// The chat format leaves an empty text out when it is encoded whole.
			if want := "data: " + string(data) + "\n\n"; text != "" && string(got) != want {
				t.Errorf("got %q, want %q", got, want)
			}
		}
	})
}
