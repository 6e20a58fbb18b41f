// Package membership contains the failure detector of processes, the roster of
// entry hosts, and the assignment of request ranges to home agents. Everything in
// it is deterministic and without I/O.
package membership

import (
	"sort"
	"time"

	"dragonflyyard/internal/model"
)

// Health is a process's state as judged by a detector.
type Health string

// States of a process in a detector. A process that the detector does not know is
// HealthForgotten.
const (
	HealthAlive     Health = "alive"
	HealthSuspect   Health = "suspect"
	HealthDead      Health = "dead"
	HealthLeft      Health = "left"
	HealthForgotten Health = "forgotten"
)

// DetectorLimits are the timeouts of a detector. Silence is the time since the
// last message of a process.
type DetectorLimits struct {
	// SuspectAfter is the silence after which a process is suspect and gets no new
	// work.
	SuspectAfter time.Duration
	// DeadAfter is the silence after which a process is dead.
	DeadAfter time.Duration
	// ForgetAfter is the silence after which the record of a process is deleted.
	ForgetAfter time.Duration
	// PauseThreshold is the time between two ticks above which the detector itself
	// was paused and restarts the timeouts of all live processes.
	PauseThreshold time.Duration
}

// DefaultDetectorLimits returns the limits for a heartbeat interval of 500 ms.
func DefaultDetectorLimits() DetectorLimits {
	return DetectorLimits{
		SuspectAfter:   1200 * time.Millisecond,
		DeadAfter:      2500 * time.Millisecond,
		ForgetAfter:    10 * time.Minute,
		PauseThreshold: 1 * time.Second,
	}
}

// HealthChange reports that an incarnation of a process changed its health.
type HealthChange struct {
	Process     string
	Incarnation model.Incarnation
	From        Health
	To          Health
}

// processState is the detector's record of a process.
type processState struct {
	incarnation   model.Incarnation
	health        Health
	lastMessageAt time.Time
}

// Detector is a failure detector: it judges processes by the time since their last
// message.
type Detector struct {
	limits    DetectorLimits
	processes map[string]*processState
	lastTick  time.Time
}

// NewDetector returns a detector without any processes.
func NewDetector(limits DetectorLimits) *Detector {
	return &Detector{limits: limits, processes: map[string]*processState{}}
}

// RecordMessage handles a message of a process. A higher incarnation replaces the
// known one, which is first reported as dead unless it is dead or left. A message
// of a lower incarnation, or of one that left, is ignored.
func (d *Detector) RecordMessage(now time.Time, process string, incarnation model.Incarnation) []HealthChange {
	state := d.processes[process]
	if state == nil {
		d.processes[process] = &processState{incarnation: incarnation, health: HealthAlive, lastMessageAt: now}
		return []HealthChange{{process, incarnation, HealthForgotten, HealthAlive}}
	}
	if incarnation < state.incarnation {
		return nil
	}
	if incarnation > state.incarnation {
		return d.replaceIncarnation(now, process, state, incarnation)
	}
	if state.health == HealthLeft {
		return nil
	}
	state.lastMessageAt = now
	return d.setHealth(process, state, HealthAlive)
}

// replaceIncarnation replaces the known incarnation by a higher one.
func (d *Detector) replaceIncarnation(now time.Time, process string, state *processState, incarnation model.Incarnation) []HealthChange {
	var changes []HealthChange
	if state.health != HealthDead && state.health != HealthLeft {
		changes = d.setHealth(process, state, HealthDead)
	}
	from := state.health
	*state = processState{incarnation: incarnation, health: HealthAlive, lastMessageAt: now}
	return append(changes, HealthChange{process, incarnation, from, HealthAlive})
}

// RecordLeave handles the announcement of a process that it is stopping. It is
// ignored unless it comes from the known incarnation.
func (d *Detector) RecordLeave(now time.Time, process string, incarnation model.Incarnation) []HealthChange {
	state := d.processes[process]
	if state == nil || state.incarnation != incarnation {
		return nil
	}
	state.lastMessageAt = now
	return d.setHealth(process, state, HealthLeft)
}

// Tick updates the health of silent processes. After a pause of the detector
// itself the timeouts of every alive or suspect process restart, since the
// detector received no messages during the pause.
func (d *Detector) Tick(now time.Time) []HealthChange {
	paused := !d.lastTick.IsZero() && now.Sub(d.lastTick) > d.limits.PauseThreshold
	d.lastTick = now
	var changes []HealthChange
	for _, process := range d.sortedProcesses() {
		state := d.processes[process]
		if paused && (state.health == HealthAlive || state.health == HealthSuspect) {
			state.lastMessageAt = now
		}
		changes = append(changes, d.updateHealth(now, process, state)...)
	}
	return changes
}

// updateHealth sets the state of a process according to its silence.
func (d *Detector) updateHealth(now time.Time, process string, state *processState) []HealthChange {
	silence := now.Sub(state.lastMessageAt)
	switch {
	case silence >= d.limits.ForgetAfter:
		delete(d.processes, process)
		return d.setHealth(process, state, HealthForgotten)
	case state.health == HealthLeft:
		return nil
	case silence >= d.limits.DeadAfter:
		return d.setHealth(process, state, HealthDead)
	case silence >= d.limits.SuspectAfter && state.health == HealthAlive:
		return d.setHealth(process, state, HealthSuspect)
	default:
		return nil
	}
}

// Health returns the health and incarnation of a process, or HealthForgotten and
// zero if the process is not known.
func (d *Detector) Health(process string) (Health, model.Incarnation) {
	state := d.processes[process]
	if state == nil {
		return HealthForgotten, 0
	}
	return state.health, state.incarnation
}

// Alive returns the names of the processes that are alive, sorted.
func (d *Detector) Alive() []string {
	var alive []string
	for _, process := range d.sortedProcesses() {
		if d.processes[process].health == HealthAlive {
			alive = append(alive, process)
		}
	}
	return alive
}

func (d *Detector) setHealth(process string, state *processState, to Health) []HealthChange {
	if state.health == to {
		return nil
	}
	from := state.health
	state.health = to
	return []HealthChange{{process, state.incarnation, from, to}}
}

func (d *Detector) sortedProcesses() []string {
	names := make([]string, 0, len(d.processes))
	for process := range d.processes {
		names = append(names, process)
	}
	sort.Strings(names)
	return names
}
