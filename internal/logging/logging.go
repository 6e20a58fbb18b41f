// Package logging writes the numbered events of a process's time line as log
// lines. Each log line of a process is an event of the catalogue, so that its
// code can be looked up in docs/EVENTS.md.
package logging

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"dragonflyyard/internal/event"
)

// Lines are gathered before they are written, as a request makes several.
const (
	bufferBytes   = 256 << 10
	flushInterval = 200 * time.Millisecond
)

// NewLogger returns a logger that writes JSON lines of the given level and
// above ("debug", "info", "warn" or "error") to standard error, at most
// flushInterval late. Sync writes what is gathered; a process that is killed
// loses it.
func NewLogger(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	out := &zapcore.BufferedWriteSyncer{WS: zapcore.Lock(os.Stderr), Size: bufferBytes, FlushInterval: flushInterval}
	return New(out, parsed), nil
}

// New returns a logger that writes JSON lines of the given level and above.
func New(out zapcore.WriteSyncer, level zapcore.Level) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.MessageKey = "event"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), out, level))
}

// Sink returns a function for event.Log.AddSink that writes each event as one
// line. An event whose code is not in the catalogue is written as an error.
func Sink(logger *zap.Logger) func(event.Event) {
	entries := map[event.Code]event.Entry{}
	for _, entry := range event.Catalogue() {
		entries[entry.Code] = entry
	}
	return func(e event.Event) {
		entry, known := entries[e.Code]
		if !known {
			entry = event.Entry{Name: "event.unknown_code", Level: "error"}
		}
		if line := logger.Check(zapLevel(entry.Level), entry.Name); line != nil {
			line.Write(fields(e)...)
		}
	}
}

func zapLevel(level string) zapcore.Level {
	switch level {
	case "debug":
		return zapcore.DebugLevel
	case "warn":
		return zapcore.WarnLevel
	case "error":
		return zapcore.ErrorLevel
	default:
		return zapcore.InfoLevel
	}
}

func fields(e event.Event) []zap.Field {
	out := []zap.Field{
		zap.Int("code", int(e.Code)),
		zap.String("process", e.Process),
		zap.Int64("clock_ms", e.Clock.WallMS),
		zap.Uint32("clock_counter", e.Clock.Counter),
	}
	for _, optional := range []struct{ key, value string }{
		{"request", string(e.Request)},
		{"job", string(e.Job)},
		{"zone", string(e.Zone)},
		{"subject", e.Subject},
		{"detail", e.Detail},
	} {
		if optional.value != "" {
			out = append(out, zap.String(optional.key, optional.value))
		}
	}
	return out
}
