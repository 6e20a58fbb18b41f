// Package logstory puts the log lines of several deployed processes about one
// job or request in order and names what is missing among them.
package logstory

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds a log line; a longer one is counted as unreadable.
const maxLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	Time   time.Time
	Source string
	Event  string
	// Task and Run name the run that the line is about; empty and 0 for none.
	Task string
	Run  int
	// Fields holds the other fields, sorted by name, as name=value.
	Fields []string
}

// Story is what the logs hold of one ID.
type Story struct {
	Lines []Line
	// Unreadable counts lines that are not log lines.
	Unreadable int
}

// Add reads a log and keeps the lines that name the ID. source names the log.
func (s *Story) Add(source string, log io.Reader, id string) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		if !strings.Contains(text, id) {
			continue
		}
		line, ok := parse(text[max(0, strings.IndexByte(text, '{')):])
		if !ok {
			s.Unreadable++
			continue
		}
		line.Source = source
		s.Lines = append(s.Lines, line)
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return scanner.Err()
}

func parse(text string) (Line, bool) {
	var fields map[string]any
	if err := json.Unmarshal([]byte(text), &fields); err != nil {
		return Line{}, false
	}
	var line Line
	at, _ := fields["time"].(string)
	line.Event, _ = fields["event"].(string)
	line.Task, _ = fields["task"].(string)
	run, _ := fields["run"].(float64)
	line.Run = int(run)
	var err error
	if line.Time, err = time.Parse(time.RFC3339Nano, at); err != nil || line.Event == "" {
		return Line{}, false
	}
	for name, value := range fields {
		switch name {
		case "time", "event", "level":
		default:
			if text := fmt.Sprint(value); text != "" {
				line.Fields = append(line.Fields, name+"="+text)
			}
		}
	}
	slices.Sort(line.Fields)
	return line, true
}

// String returns the line as it is printed.
func (l Line) String() string {
	return fmt.Sprintf("%s %-14s %-18s %s", l.Time.UTC().Format("15:04:05.000"), l.Source, l.Event, strings.Join(l.Fields, " "))
}

// Missing names what a whole story has and this one lacks: the answer to the
// submission, the scheduler's first line, and for each ordered run its start
// and its end.
func (s *Story) Missing() []string {
	var missing []string
	if !s.has("call_answered", "", 0) {
		missing = append(missing, "no entry host's answer to a call")
	}
	if !s.has("job_seen", "", 0) {
		missing = append(missing, "no scheduler saw the job")
	}
	for _, line := range s.Lines {
		if line.Event != "run_ordered" {
			continue
		}
		name := fmt.Sprintf("%s run %d", line.Task, line.Run)
		ended := s.has("run_ended", line.Task, line.Run)
		if !ended {
			missing = append(missing, name+": no end")
		}
		if !ended && !s.has("run_started", line.Task, line.Run) {
			missing = append(missing, name+": no start, or the agent's log is not here")
		}
	}
	return missing
}

func (s *Story) has(event, task string, run int) bool {
	return slices.ContainsFunc(s.Lines, func(l Line) bool { return l.Event == event && l.Task == task && l.Run == run })
}
