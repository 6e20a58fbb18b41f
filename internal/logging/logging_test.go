package logging

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"go.uber.org/zap/zapcore"

	"dragonflyyard/internal/event"
)

func TestSinkWritesOneNumberedLineForEachEvent(t *testing.T) {
	cases := []struct {
		name  string
		event event.Event
		want  map[string]any
	}{
		{"known", event.Event{Code: event.RequestReceived, Request: "r1", Detail: "d"},
			map[string]any{"event": "request.received", "level": "debug", "code": 1000.0, "process": "p", "request": "r1", "detail": "d", "clock_ms": 5.0}},
		{"information", event.Event{Code: event.ZoneChanged, Zone: "z"},
			map[string]any{"event": "zone.changed", "level": "info", "zone": "z"}},
		{"warning", event.Event{Code: event.LinkLost, Subject: "peer"},
			map[string]any{"event": "link.lost", "level": "warn", "subject": "peer"}},
		{"unknown code", event.Event{Code: 999999, Job: "j", Zone: "z"},
			map[string]any{"event": "event.unknown_code", "level": "error", "code": 999999.0, "job": "j", "zone": "z"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			log := event.NewLog("p", 4, func() time.Time { return time.UnixMilli(5) })
			log.AddSink(Sink(New(zapcore.AddSync(&out), zapcore.DebugLevel)))
			log.Record(c.event)
			var line map[string]any
			if err := json.Unmarshal(out.Bytes(), &line); err != nil {
				t.Fatalf("%v in %q", err, out.String())
			}
			for key, want := range c.want {
				if line[key] != want {
					t.Errorf("%s: got %v, want %v", key, line[key], want)
				}
			}
		})
	}
}

func TestSinkKeepsToTheLevel(t *testing.T) {
	var out bytes.Buffer
	Sink(New(zapcore.AddSync(&out), zapcore.WarnLevel))(event.Event{Code: event.RequestReceived})
	if out.Len() != 0 {
		t.Errorf("got %q", out.String())
	}
}

func TestNewLoggerRefusesAnUnknownLevel(t *testing.T) {
	if _, err := NewLogger("loud"); err == nil {
		t.Error("no error")
	}
	if _, err := NewLogger("info"); err != nil {
		t.Error(err)
	}
}
