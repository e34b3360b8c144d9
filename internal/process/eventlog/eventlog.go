// Package eventlog writes numbered log events through logrus. docs/EVENTS.md
// lists every event; a test compares it with the catalogue in this package. A
// logger blocks only if its writer does; AsyncWriter never blocks.
package eventlog

import (
	"io"
	"maps"

	"github.com/sirupsen/logrus"
)

// Event is a log event of the catalogue.
type Event struct {
	// Number is stable across releases.
	Number int
	Level  logrus.Level
	// Message is constant text; details go into fields.
	Message string
}

// Fields are the structured details of one event.
type Fields = logrus.Fields

// Logger writes events. It is safe for concurrent use.
type Logger struct {
	entry *logrus.Entry
	// writer is the AsyncWriter whose dropped lines are reported, or nil.
	writer *AsyncWriter
	// rateLimiter limits the events written with LogLimited; nil means no limit.
	rateLimiter *rateLimiter
}

// New returns a logger that writes JSON lines to w at the given level.
func New(w io.Writer, level logrus.Level, node string) *Logger {
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(level)
	logger.SetFormatter(lineFormatter{})
	return &Logger{entry: logger.WithField("node", node)}
}

// Discard returns a logger that drops every event.
func Discard() *Logger { return New(io.Discard, logrus.PanicLevel, "") }

// Log writes one event with its fields.
func (l *Logger) Log(event Event, fields Fields) {
	if !l.entry.Logger.IsLevelEnabled(event.Level) {
		return
	}
	data := make(Fields, len(fields)+len(l.entry.Data)+1)
	maps.Copy(data, l.entry.Data)
	maps.Copy(data, fields)
	data["event"] = event.Number
	entry := logrus.Entry{Logger: l.entry.Logger, Data: data}
	entry.Log(event.Level, event.Message)
}
