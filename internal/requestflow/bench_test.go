package requestflow

import (
	"fmt"
	"testing"
	"time"

	"dragonflyyard/internal/membership"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// BenchmarkRequest measures one request from Submit to its answer, claim included,
// on an entry host that is connected to 11, 200 or 1,600 agents.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{11, 200, 1600} {
		b.Run(fmt.Sprint(n, " agents"), func(b *testing.B) { benchmarkRequest(b, n) })
	}
}

func benchmarkRequest(b *testing.B, agents int) {
	now := time.UnixMilli(1_800_000_000_000)
	core := New(Config{Entry: "e", Incarnation: 1})
	var members []membership.HomeAgent
	for i := range agents {
		id := model.BackendServerID(fmt.Sprintf("b%04d", i))
		members = append(members, membership.HomeAgent{ID: id, Incarnation: 1})
		core.Step(now, LinkUp{Backend: model.BackendServer{ID: id, Slots: 8, Connections: 64}, Incarnation: 1, Connection: 1})
		core.Step(now, Receive{From: id, Connection: 1, Message: &wire.Credit{Seq: 1, Slots: 4, Connections: 32}})
	}
	assignment, _ := membership.PlanHomes(wire.Assignment{}, members, 0, 0)
	core.Step(now, AssignmentUpdate{Assignment: assignment})
	ms := now.UnixMilli()
	body := []byte("body")
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := model.RequestID(fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, i))
		request := model.Request{ID: id, Account: "a", Deadline: now.Add(time.Second), Slots: 1, Body: body}
		actions := core.Step(now, Submit{Request: request, Caller: Caller(i + 1)})
		if !simulateAgents(core, now, actions) {
			b.Fatalf("request %d got no answer: %v", i, actions)
		}
	}
}

// simulateAgents plays the agents until the request is finished.
func simulateAgents(core *Core, now time.Time, actions []Action) bool {
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		switch action := action.(type) {
		case Finish:
			return action.Outcome.Kind == model.OutcomeAnswered
		case Send:
			if reply := replyTo(action.Message); reply != nil {
				next := core.Step(now, Receive{From: action.To, Connection: action.Connection, Message: reply})
				actions = append(actions, next...)
			}
		}
	}
	return false
}

func replyTo(m wire.Message) wire.Message {
	switch m := m.(type) {
	case *wire.Claim:
		return &wire.ClaimReply{Request: m.Request, Granted: true, State: wire.StateClaimed, Token: m.Token}
	case *wire.Dispatch:
		return &wire.AnswerPart{Request: m.Request, Parts: 1, Total: len(m.Body), Status: 200, Body: m.Body}
	default:
		return nil
	}
}
