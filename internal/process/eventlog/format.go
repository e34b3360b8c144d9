package eventlog

import (
	"bytes"
	"slices"
	"strconv"
	"time"

	"github.com/goccy/go-json"
	"github.com/sirupsen/logrus"
)

// lineFormatter writes an event as one JSON object with sorted keys. It takes a
// fraction of the processor time of logrus's JSON formatter, which copies the
// fields into another map and encodes them by reflection. Logging must stay a
// small part of a node's processor time.
type lineFormatter struct{}

// Format implements logrus.Formatter.
func (lineFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	out := entry.Buffer
	if out == nil {
		out = &bytes.Buffer{}
	}
	keys := make([]string, 0, len(entry.Data)+3)
	for key := range entry.Data {
		if key != logrus.FieldKeyLevel && key != logrus.FieldKeyMsg && key != logrus.FieldKeyTime {
			keys = append(keys, key)
		}
	}
	keys = append(keys, logrus.FieldKeyLevel, logrus.FieldKeyMsg, logrus.FieldKeyTime)
	slices.Sort(keys)
	line := out.AvailableBuffer()
	for i, key := range keys {
		line = append(line, "{,"[min(i, 1)])
		line = appendText(line, key)
		line = append(line, ':')
		switch key {
		case logrus.FieldKeyLevel:
			line = appendText(line, entry.Level.String())
		case logrus.FieldKeyMsg:
			line = appendText(line, entry.Message)
		case logrus.FieldKeyTime:
			line = append(line, '"')
			line = entry.Time.AppendFormat(line, time.RFC3339Nano)
			line = append(line, '"')
		default:
			line = appendValue(line, entry.Data[key])
		}
	}
	line = append(line, "}\n"...)
	out.Write(line)
	return out.Bytes(), nil
}

// appendValue appends the JSON form of a field's value.
func appendValue(line []byte, value any) []byte {
	switch v := value.(type) {
	case string:
		return appendText(line, v)
	case int:
		return strconv.AppendInt(line, int64(v), 10)
	case int64:
		return strconv.AppendInt(line, v, 10)
	case bool:
		return strconv.AppendBool(line, v)
	case error:
		return appendText(line, v.Error())
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return appendText(line, "not encodable: "+err.Error())
	}
	return append(line, encoded...)
}

// appendText appends text as a JSON string. Printable ASCII without quotes and
// backslashes is copied; other text goes through the JSON encoder.
func appendText(line []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			encoded, err := json.Marshal(text)
			if err != nil { // strings can always be encoded
				return append(line, `""`...)
			}
			return append(line, encoded...)
		}
	}
	line = append(line, '"')
	line = append(line, text...)
	return append(line, '"')
}
