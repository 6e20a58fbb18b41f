package timeline

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"dragonflyyard/internal/event"
)

func TestMergeOrdersFiltersAndKeepsEachProcessesOrder(t *testing.T) {
	at := func(ms int64, counter uint32, process, subject string) event.Event {
		return event.Event{Code: event.JobPlaced, Clock: event.Timestamp{WallMS: ms, Counter: counter},
			Process: process, Subject: subject, Job: "j", Zone: "z", Request: "r"}
	}
	a := []event.Event{at(1, 0, "a", "1"), at(3, 0, "a", "4"), at(3, 1, "a", "6")}
	b := []event.Event{at(2, 0, "b", "2"), at(2, 1, "b", "3"), at(3, 0, "b", "5")}
	other := at(2, 0, "b", "other")
	other.Job, other.Zone, other.Request = "k", "y", "q"
	for _, f := range []Filter{{Job: "j"}, {Zone: "z"}, {Request: "r"}, {Job: "j", Zone: "z"}} {
		var order string
		for _, e := range Merge(f, a, append(b, other)) {
			order += e.Subject
		}
		if order != "123456" {
			t.Errorf("filter %+v: got order %s", f, order)
		}
	}
	if got := len(Merge(Filter{}, a, append(b, other))); got != 7 {
		t.Errorf("got %d events without a filter", got)
	}
}

// TestCausesComeBeforeTheirEffects checks that the merged timeline shows each message
// as sent before it is received, although the wall clocks of the processes differ by
// up to the skew bound. Each message carries its sender's clock.
func TestCausesComeBeforeTheirEffects(t *testing.T) {
	const processes, steps = 4, 400
	random := rand.New(rand.NewPCG(13, 13))
	now := time.UnixMilli(1_000_000)
	logs := make([]*event.Log, processes)
	for i := range logs {
		skew := time.Duration(random.IntN(1000)-500) * time.Millisecond
		logs[i] = event.NewLog(string(rune('a'+i)), steps*2, func() time.Time { return now.Add(skew) })
	}
	for step := range steps {
		from, to := random.IntN(processes), random.IntN(processes)
		subject := string(rune('0'+step%10)) + strings.Repeat("x", step)
		logs[from].Record(event.Event{Code: event.RequestDispatched, Subject: "send " + subject})
		logs[to].Observe(logs[from].Now())
		logs[to].Record(event.Event{Code: event.RequestReceived, Subject: "receive " + subject})
		now = now.Add(time.Duration(random.IntN(3)) * time.Millisecond)
	}
	sent := map[string]bool{}
	all := make([][]event.Event, processes)
	for i, log := range logs {
		all[i] = log.Events()
	}
	for _, e := range Merge(Filter{}, all...) {
		kind, subject, _ := strings.Cut(e.Subject, " ")
		if kind == "send" {
			sent[subject] = true
		} else if !sent[subject] {
			t.Fatalf("message %d was received before it was sent", len(subject)-1)
		}
	}
	if len(sent) != steps {
		t.Errorf("got %d messages, want %d", len(sent), steps)
	}
}

func TestPrint(t *testing.T) {
	var out bytes.Buffer
	err := Print(&out, []event.Event{{Code: event.JobPlaced, Process: "entry-1", Job: "j1", Detail: "3 members",
		Clock: event.Timestamp{WallMS: 3_723_004, Counter: 2}}})
	want := "01:02:03.004+2 entry-1            3001 job.placed job=\"j1\" detail=\"3 members\"\n"
	if err != nil || out.String() != want {
		t.Errorf("got %q, %v; want %q", out.String(), err, want)
	}
}
