package requestflow

import (
	"strings"
	"testing"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// TestOverdueAgentGetsNoRequests guards against dispatching a non-idempotent request
// to an agent whose heartbeat is overdue. Agent "a" is the home.
func TestOverdueAgentGetsNoRequests(t *testing.T) {
	overdue := func(id model.BackendServerID, connection uint64) func(*rig) {
		return func(r *rig) { r.step(LinkOverdue{Backend: id, Connection: connection}) }
	}
	cases := []struct {
		name   string
		before func(*rig)
		want   string
	}{
		{"none", func(*rig) {}, "a: dispatch"},
		{"the home", overdue("a", 1), ""},
		{"the home, on a former connection", overdue("a", 9), "a: dispatch"},
		{"an agent that is not connected", overdue("c", 1), "a: dispatch"},
		{"the home, heard again", func(r *rig) {
			overdue("a", 1)(r)
			r.from("a", &wire.Credit{Seq: 2, Slots: 8, Connections: 64})
		}, "a: dispatch"},
		{"the other agent", overdue("b", 1), "a: dispatch"},
	}
	for _, c := range cases {
		r := newRig(Config{})
		c.before(r)
		got := r.submit(1, unmodified)
		if !strings.HasPrefix(got, c.want) || (c.want == "" && strings.Contains(got, "dispatch")) {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

// TestRequestsOfALiveHomeLeaveAnOverdueExecutorAlone guards against claims for an
// executor whose heartbeat is overdue. The home has no free slots, so that requests
// have to run elsewhere.
func TestRequestsOfALiveHomeLeaveAnOverdueExecutorAlone(t *testing.T) {
	for _, isOverdue := range []bool{false, true} {
		r := newRig(Config{})
		r.submit(1, func(m *model.Request) { m.Slots = 8 })
		if isOverdue {
			r.step(LinkOverdue{Backend: "b", Connection: 1})
		}
		if got := r.submit(2, unmodified); strings.Contains(got, "a: claim") == isOverdue {
			t.Errorf("overdue %v: got %q", isOverdue, got)
		}
	}
}
