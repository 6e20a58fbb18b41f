package faultmatrix

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/requestflow"
	"dragonflyyard/internal/requestflow/requesttest"
)

// requestFaults are the faults of the request path's rows beside outageFaults.
func requestFaults() []Fault {
	return []Fault{
		HostKilled, ProcessFrozen, ConnectionSilent, ConnectionCut, ConnectionSlow, MessageDuplicated, MessageReordered,
		MessageLost, TableAnswerLost, LeaseLapsed, EntryKilled, AgentKilled, OwnerKilled, OwnerDeposed, OperatorsRacing, SecondFault,
	}
}

// outageFaults are those in which the table service takes no writes.
func outageFaults() []Fault { return []Fault{TableDown, TableSlow} }

// stepTaken is a transition that an entry host took.
type stepTaken struct {
	entry int
	requestflow.TraceStep
}

// armFault puts a fault at the first transition s of the named chart. The
// returned function reports whether the transition was taken.
func armFault(b *requesttest.Testbed, chart string, s step, put func(at stepTaken)) func() bool {
	hit := false
	inner := b.OnTransition
	b.OnTransition = func(entry int, taken requestflow.TraceStep) {
		if inner != nil {
			inner(entry, taken)
		}
		if hit || taken.Chart != chart || taken.From != s.from || taken.Event != s.event {
			return
		}
		hit = true
		b.At(0, func() { put(stepTaken{entry, taken}) })
	}
	return func() bool { return hit }
}

// putFault applies a fault to the processes and connections of a step.
func putFault(b *requesttest.Testbed, f Fault, at stepTaken) {
	entry, taken := at.entry, at.TraceStep
	agent := indexOf(taken.Backend)
	home := agent
	if taken.Home != "" {
		home = indexOf(taken.Home)
	}
	switch f {
	case HostKilled:
		killAgent(b, agent)
	case ProcessFrozen:
		b.PauseEntry(entry, longPause)
	case ConnectionSilent:
		b.Silence(entry, agent)
	case ConnectionCut:
		b.Cut(entry, agent)
	case ConnectionSlow, MessageDuplicated, MessageReordered, MessageLost:
		disturbMessages(b, f, taken)
	case LeaseLapsed:
		lapsePermits(b, entry, agent)
	case EntryKilled:
		b.KillEntry(entry)
		b.At(longPause, func() { b.RestartEntry(entry) })
	case AgentKilled:
		replaceAgent(b, agent)
		b.At(2*shortPause, func() { replaceAgent(b, home) })
	case OperatorsRacing:
		raceZone(b, agent)
	case SecondFault:
		b.Silence(entry, agent)
		b.At(shortPause, func() { killAgent(b, home) })
		b.At(2*shortPause, func() { b.PauseEntry(entry, longPause) })
	default:
		if taken.Chart != "backend" {
			killAgent(b, home)
		}
		disturbAssignment(b, f)
	}
}

// lapsePermits pauses an agent until its permits have ended and its ranges have
// moved. When it wakes, only an entry host that does not know of the move reaches
// it, and the same requests come to that entry host and to the other one.
func lapsePermits(b *requesttest.Testbed, entry, agent int) {
	const twins = 60
	other := (entry + 1) % bagEntries
	b.PauseAgent(agent, longPause)
	b.WithholdAssignments(entry, agent, 3*longPause)
	b.Partition(other, agent, 3*longPause)
	for i := range twins {
		b.At(longPause+time.Duration(i)*longPause/twins, func() {
			request := b.NewRequest(i%2 == 0, 2*shortPause)
			b.Submit(entry, request)
			b.At(shortPause/10, func() { b.Submit(other, request) })
		})
	}
}

// raceZone lets two operators take an agent's zone out and bring it back in
// turn. It stays out for a while in the end.
func raceZone(b *requesttest.Testbed, agent int) {
	const moves = 5
	for i := range moves {
		b.At(time.Duration(i)*shortPause, func() { b.SetZoneOut(agent, i%2 == 0) })
	}
	b.At(moves*shortPause+2*longPause, func() { b.SetZoneOut(agent, false) })
}

// disturbAssignment hinders the move of a dead or leaving home's ranges.
func disturbAssignment(b *requesttest.Testbed, f Fault) {
	switch f {
	case TableDown:
		b.StopStore(longPause)
	case TableSlow:
		b.DelayNextAssignment(longPause)
	case TableAnswerLost:
		b.BlockAssignmentReads(longPause)
	case OwnerKilled:
		b.StopOwner(longPause)
	case OwnerDeposed:
		b.At(longPause/2, b.ResendFormerAssignment)
		b.At(longPause, b.ResendFormerAssignment)
	}
}

func killAgent(b *requesttest.Testbed, agent int) {
	b.KillAgent(agent)
	b.At(longPause, func() { b.RestartAgent(agent) })
}

// replaceAgent kills an agent whose new life is up before the deadlines of its
// former requests.
func replaceAgent(b *requesttest.Testbed, agent int) {
	b.KillAgent(agent)
	b.At(shortPause, func() { b.RestartAgent(agent) })
}

// disturbMessages disturbs the messages of a request, or all messages of a
// backend server's connections, for a while after the step.
func disturbMessages(b *requesttest.Testbed, f Fault, taken requestflow.TraceStep) {
	until := b.Now().Add(shortPause)
	inner := b.Filter
	count := 0
	b.Filter = func(m requesttest.Message) requesttest.Verdict {
		v := requesttest.Verdict{}
		if inner != nil {
			v = inner(m)
		}
		mine := requesttest.RequestOf(m.Body) == taken.Request && taken.Request != ""
		if taken.Request == "" {
			mine = m.Agent == indexOf(taken.Backend)
		}
		if !mine || b.Now().After(until) {
			return v
		}
		count++
		switch f {
		case MessageDuplicated:
			v.Duplicate = true
		case MessageLost:
			v.Drop = true
		case MessageReordered:
			v.Delay += time.Duration(count%2) * 15 * time.Millisecond
		default:
			v.Delay += 150 * time.Millisecond
		}
		return v
	}
}

func indexOf(id model.BackendServerID) int {
	for i := range bagAgents {
		if requesttest.AgentID(i) == id {
			return i
		}
	}
	return 0
}
