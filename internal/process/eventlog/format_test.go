package eventlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
)

// TestLineMatchesLogrusFormatter compares a line with values of all kinds with the
// output of logrus's JSON formatter.
func TestLineMatchesLogrusFormatter(t *testing.T) {
	entry := &logrus.Entry{
		Logger: logrus.New(), Level: logrus.WarnLevel, Message: `a "message"`, Time: time.Date(2026, 1, 1, 0, 0, 0, 1500, time.UTC),
		Data: Fields{
			"text": "plain", "quoted": "a\"b\\c\n\x01", "letters": "äß\u2028", "none": nil, "int": -3, "int64": int64(1) << 60, "yes": true,
			"part": 0.25, "list": []string{"a", "b"}, "counts": map[string]int{"x": 1}, "error": errors.New("lost"), "took": time.Second,
		},
	}
	decoded := func(f logrus.Formatter) map[string]any {
		line, err := f.Format(entry)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.HasSuffix(line, []byte("}\n")) || bytes.Count(line, []byte("\n")) != 1 {
			t.Errorf("got %q, want one line", line)
		}
		var fields map[string]any
		decoder := json.NewDecoder(bytes.NewReader(line))
		decoder.UseNumber()
		if err := decoder.Decode(&fields); err != nil {
			t.Fatalf("got %v, want a JSON object: %s", err, line)
		}
		return fields
	}
	want := decoded(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	if diff := cmp.Diff(want, decoded(lineFormatter{})); diff != "" {
		t.Errorf("fields (-logrus +lineFormatter):\n%s", diff)
	}
}

// TestUnencodableFieldKeepsOtherFields verifies that a value without a JSON form
// does not affect the other fields of its line.
func TestUnencodableFieldKeepsOtherFields(t *testing.T) {
	var out bytes.Buffer
	New(&out, logrus.InfoLevel, "n").Log(NodeStarted, Fields{"channel": make(chan int), "callers": "a"})
	var fields map[string]any
	if err := json.Unmarshal(out.Bytes(), &fields); err != nil || fields["callers"] != "a" {
		t.Errorf("got error %v and line %s, want the field callers", err, out.String())
	}
}
