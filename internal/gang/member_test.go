package gang

import (
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

var start = time.UnixMilli(1_000_000)

// newTestMember returns a member that was created a minute before start and has a
// permit for one minute.
func newTestMember() *Member {
	m := NewMember(model.Worker{ID: "w", Capacity: model.Resources{Accelerators: 8}}, DefaultSettings(), start.Add(-time.Minute))
	m.Step(start, PermitUpdate{ValidUntil: start.Add(time.Minute)})
	return m
}

func reserve(attempt uint64, accelerators int) Receive {
	return Receive{&wire.Reserve{
		Epoch: 2, Job: "j", Attempt: attempt, Task: "j/0", Needs: model.Resources{Accelerators: accelerators}, HoldMS: 3000,
	}}
}

func launch(attempt uint64, answered time.Time) Receive {
	return Receive{&wire.Launch{
		Epoch: 2, Job: "j", Attempt: attempt, Task: "j/0", LeaseMS: 2000, AnsweredMS: answered.UnixMilli(), StartWithinMS: 3000,
	}}
}

func grant(sent time.Time) Receive {
	return Receive{&wire.LeaseGrant{
		Epoch: 2, SentMS: sent.UnixMilli(), Tasks: []wire.TaskLease{{Task: "j/0", Attempt: 1, LeaseMS: 2000}},
	}}
}

// timedInput is an input at a time after start.
type timedInput struct {
	after time.Duration
	in    Input
}

func TestStateAfterSequences(t *testing.T) {
	running := WorkerTaskEvent{Task: "j/0", State: wire.TaskRunning}
	cases := []struct {
		name  string
		steps []timedInput
		want  wire.TaskState
	}{
		{"reserved", []timedInput{{0, reserve(1, 8)}}, wire.TaskReserved},
		{"hold expired", []timedInput{{0, reserve(1, 8)}, {3 * time.Second, Tick{}}}, wire.TaskStopped},
		{"launched", []timedInput{{0, reserve(1, 8)}, {0, launch(1, start)}}, wire.TaskStarting},
		{"launch that waited in a paused agent", []timedInput{{0, reserve(1, 8)}, {2 * time.Second, reserve(1, 8)}, {4 * time.Second, launch(1, start)}}, wire.TaskStopped},
		{"launch without a permit", []timedInput{{0, reserve(1, 8)}, {0, PermitUpdate{}}, {0, launch(1, start)}}, wire.TaskStopped},
		{"launch in a zone that is out", []timedInput{{0, reserve(1, 8)}, {0, PermitUpdate{ValidUntil: start.Add(time.Hour), ZoneOut: true}}, {0, launch(1, start)}}, wire.TaskStopped},
		{"release before the reservation", []timedInput{{0, Receive{&wire.Release{Epoch: 2, Job: "j", Attempt: 1, Task: "j/0"}}}, {0, reserve(1, 8)}}, wire.TaskStopped},
		{"running", []timedInput{{0, reserve(1, 8)}, {0, launch(1, start)}, {0, running}}, wire.TaskRunning},
		{"lease lapsed", []timedInput{{0, reserve(1, 8)}, {0, launch(1, start)}, {0, running}, {2 * time.Second, Tick{}}}, wire.TaskSuspended},
		{"stale grant after a pause", []timedInput{{0, reserve(1, 8)}, {0, launch(1, start)}, {0, running}, {5 * time.Second, grant(start.Add(time.Second))}}, wire.TaskSuspended},
		{"fresh grant", []timedInput{{0, reserve(1, 8)}, {0, launch(1, start)}, {0, running}, {5 * time.Second, Tick{}}, {5 * time.Second, grant(start.Add(5 * time.Second))}}, wire.TaskRunning},
		{"suspended too long", []timedInput{{0, reserve(1, 8)}, {0, launch(1, start)}, {0, running}, {2 * time.Second, Tick{}}, {22 * time.Second, Tick{}}}, wire.TaskStopping},
		{"older epoch", []timedInput{{0, reserve(1, 8)}, {0, PermitUpdate{ValidUntil: start.Add(time.Hour), OwnerEpoch: 3}}, {0, launch(1, start)}}, wire.TaskReserved},
		{"launch twice after the end", []timedInput{{0, reserve(1, 8)}, {0, launch(1, start)}, {0, WorkerTaskEvent{Task: "j/0", State: wire.TaskFinished}}, {0, launch(1, start)}}, wire.TaskFinished},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newTestMember()
			for _, s := range c.steps {
				m.Step(start.Add(s.after), s.in)
			}
			if got := m.tasks["j/0"].state; got != c.want {
				t.Errorf("state %d, want %d", got, c.want)
			}
		})
	}
}

func TestReservationsNeverExceedCapacity(t *testing.T) {
	m := newTestMember()
	m.Step(start, reserve(1, 5))
	in := reserve(1, 4)
	in.Message.(*wire.Reserve).Job = "k"
	in.Message.(*wire.Reserve).Task = "k/0"
	for _, a := range m.Step(start, in) {
		if s, ok := a.(Send); ok {
			if r, ok := s.Message.(*wire.ReserveReply); ok && r.OK {
				t.Error("reserved 4 accelerators with 5 of 8 already reserved")
			}
		}
	}
}

func TestNewMemberRefusesReservationsAndStaysSilent(t *testing.T) {
	m := NewMember(model.Worker{ID: "w", Capacity: model.Resources{Accelerators: 8}}, DefaultSettings(), start)
	m.Step(start, PermitUpdate{ValidUntil: start.Add(time.Minute)})
	m.Step(start, reserve(1, 1))
	if !m.Idle() {
		t.Error("reservation accepted while tasks of an earlier process of the agent may still run")
	}
	for _, a := range m.Step(start, Receive{&wire.StopTask{Epoch: 2, Job: "j", Attempt: 1, Task: "j/0"}}) {
		if _, ok := a.(Send); ok {
			t.Error("reported the end of a task that the worker may still run")
		}
	}
}

func TestReportSaysForHowLongReservationsAreRefused(t *testing.T) {
	settings := DefaultSettings()
	m := NewMember(model.Worker{ID: "w"}, settings, start)
	for _, after := range []time.Duration{0, settings.StartDelay / 2, settings.StartDelay, 2 * settings.StartDelay} {
		m.Step(start.Add(after), Tick{})
		if got, want := m.Report().AcceptInMS, max(0, settings.StartDelay-after).Milliseconds(); got != want {
			t.Errorf("after %s: %d ms, want %d", after, got, want)
		}
	}
}
