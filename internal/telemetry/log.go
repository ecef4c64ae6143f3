package telemetry

import (
	"io"

	"github.com/rs/zerolog"
)

// NewLogger returns a logger that writes one line of key=value pairs for each event.
func NewLogger(w io.Writer, level zerolog.Level) zerolog.Logger {
	out := zerolog.ConsoleWriter{Out: w, NoColor: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00"}
	out.FormatTimestamp = func(v any) string { return field("time", v) }
	out.FormatLevel = func(v any) string { return field("level", v) }
	out.FormatMessage = func(v any) string { return field("event", v) }
	return zerolog.New(out).Level(level).With().Timestamp().Logger()
}

// field formats a key=value pair; a value that is not a string is empty.
func field(key string, v any) string {
	s, _ := v.(string)
	return key + "=" + s
}
