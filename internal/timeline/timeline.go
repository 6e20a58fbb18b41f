// Package timeline merges the events of several processes into one ordered
// timeline and filters it. Events are ordered by their hybrid logical clocks; see
// docs/design/13-timeline.md for why.
package timeline

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
)

// Filter selects the events that match all of its non-empty fields.
type Filter struct {
	Request model.RequestID
	Job     model.JobID
	Zone    model.AvailabilityZoneName
}

// Matches reports whether the filter selects an event.
func (f Filter) Matches(e event.Event) bool {
	return (f.Request == "" || e.Request == f.Request) &&
		(f.Job == "" || e.Job == f.Job) &&
		(f.Zone == "" || e.Zone == f.Zone)
}

// Merge returns the selected events of all processes in clock order. Events of
// one process with equal clocks keep the order in which they are given. Events of
// different processes with equal clocks are concurrent; they are ordered by process
// name.
func Merge(f Filter, processes ...[]event.Event) []event.Event {
	var merged []event.Event
	for _, events := range processes {
		for _, e := range events {
			if f.Matches(e) {
				merged = append(merged, e)
			}
		}
	}
	slices.SortStableFunc(merged, compare)
	return merged
}

func compare(a, b event.Event) int {
	switch {
	case a.Clock.Less(b.Clock):
		return -1
	case b.Clock.Less(a.Clock):
		return 1
	default:
		return cmp.Compare(a.Process, b.Process)
	}
}

// Print writes one line for each event: wall clock in UTC with the clock's counter,
// process, code, name, then the attributes that are set (request, job, zone, subject,
// detail).
func Print(w io.Writer, events []event.Event) error {
	names := map[event.Code]string{}
	for _, entry := range event.Catalogue() {
		names[entry.Code] = entry.Name
	}
	for _, e := range events {
		wall := time.UnixMilli(e.Clock.WallMS).UTC().Format("15:04:05.000")
		_, err := fmt.Fprintf(w, "%s+%d %-18s %d %s%s\n", wall, e.Clock.Counter, e.Process, e.Code, names[e.Code], formatAttributes(e))
		if err != nil {
			return err
		}
	}
	return nil
}

func formatAttributes(e event.Event) string {
	text := ""
	for _, part := range []struct{ key, value string }{
		{"request", string(e.Request)}, {"job", string(e.Job)}, {"zone", string(e.Zone)},
		{"subject", e.Subject}, {"detail", e.Detail},
	} {
		if part.value != "" {
			text += fmt.Sprintf(" %s=%q", part.key, part.value)
		}
	}
	return text
}
