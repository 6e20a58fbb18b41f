package logstory

import (
	"strings"
	"testing"
)

const id = "00000000000000aa"

func TestStory(t *testing.T) {
	entry := `{"level":"info","time":"2026-01-01T10:00:00.001Z","event":"call_answered","call":"submit","job":"00000000000000aa","outcome":"accepted"}
not a log line about 00000000000000aa
{"level":"info","time":"2026-01-01T10:00:00.020Z","event":"run_ordered","job":"00000000000000aa","task":"00000000000000aa.0.0.0","run":1}
{"level":"info","time":"2026-01-01T10:00:00.020Z","event":"run_ordered","job":"00000000000000aa","task":"00000000000000aa.0.0.1","run":1}
{"level":"info","time":"2026-01-01T10:00:00.010Z","event":"job_seen","job":"00000000000000aa"}
{"level":"info","time":"2026-01-01T10:00:00.010Z","event":"job_seen","job":"00000000000000bb"}
`
	agent := `  12.3 side-1 {"level":"info","time":"2026-01-01T10:00:00.030Z","event":"run_ended","task":"00000000000000aa.0.0.0","run":1,"reason":"done "}
`
	var s Story
	for source, log := range map[string]string{"entry": entry, "side-1": agent} {
		if err := s.Add(source, strings.NewReader(log), id); err != nil {
			t.Fatal(err)
		}
	}
	var events []string
	for _, line := range s.Lines {
		events = append(events, line.Event)
	}
	if got := strings.Join(events, " "); got != "call_answered job_seen run_ordered run_ordered run_ended" || s.Unreadable != 1 {
		t.Errorf("events %q, %d unreadable", got, s.Unreadable)
	}
	missing := strings.Join(s.Missing(), "; ")
	want := id + ".0.0.1 run 1: no end; " + id + ".0.0.1 run 1: no start, or the agent's log is not here"
	if missing != want {
		t.Errorf("missing %q, want %q", missing, want)
	}
	if empty := (&Story{}).Missing(); len(empty) != 2 {
		t.Errorf("an empty story lacks %v", empty)
	}
}

func FuzzAdd(f *testing.F) {
	f.Add(`{"time":"2026-01-01T10:00:00Z","event":"e","task":"t","run":1}`)
	f.Fuzz(func(_ *testing.T, log string) {
		var s Story
		_ = s.Add("x", strings.NewReader(log), "")
		s.Missing()
	})
}
