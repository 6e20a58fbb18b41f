// Package membership decides which processes are alive, which entry hosts
// form the roster, and which agent is home of which range of requests. All of
// it is deterministic and without I/O.
package membership

import (
	"sort"
	"time"

	"dragonflyyard/internal/model"
)

// Health is what a detector believes of a process.
type Health string

// States of a process in a detector.
const (
	HealthAlive     Health = "alive"
	HealthSuspect   Health = "suspect"
	HealthDead      Health = "dead"
	HealthLeft      Health = "left"
	HealthForgotten Health = "forgotten"
)

// DetectorLimits are the silences after which a process changes state.
type DetectorLimits struct {
	// SuspectAfter is the silence after which a process gets no new work.
	SuspectAfter time.Duration
	// DeadAfter is the silence after which a process counts as dead.
	DeadAfter time.Duration
	// ForgetAfter is the silence after which nothing is kept of a process.
	ForgetAfter time.Duration
	// WakeGap is the silence of the detector's own clock ticks after which it
	// was paused itself and gives all processes a fresh start.
	WakeGap time.Duration
}

// DefaultDetectorLimits returns limits for heartbeats every 500 ms.
func DefaultDetectorLimits() DetectorLimits {
	return DetectorLimits{
		SuspectAfter: 1200 * time.Millisecond,
		DeadAfter:    2500 * time.Millisecond,
		ForgetAfter:  10 * time.Minute,
		WakeGap:      1 * time.Second,
	}
}

// HealthChange is a change of a process's health.
type HealthChange struct {
	Process     string
	Incarnation model.Incarnation
	From        Health
	To          Health
}

// member is what a detector knows of a process.
type member struct {
	incarnation model.Incarnation
	health      Health
	heardAt     time.Time
}

// Detector judges processes by the time since the last message that was heard
// of them, here called their silence.
type Detector struct {
	limits   DetectorLimits
	members  map[string]*member
	lastTick time.Time
}

// NewDetector returns a detector that knows no process.
func NewDetector(limits DetectorLimits) *Detector {
	return &Detector{limits: limits, members: map[string]*member{}}
}

// Heard takes in a message of a process. A higher incarnation replaces the
// former one, which is reported as dead first. A message of a lower incarnation,
// or of one that left, is ignored.
func (d *Detector) Heard(now time.Time, process string, incarnation model.Incarnation) []HealthChange {
	m := d.members[process]
	if m == nil {
		d.members[process] = &member{incarnation: incarnation, health: HealthAlive, heardAt: now}
		return []HealthChange{{process, incarnation, HealthForgotten, HealthAlive}}
	}
	if incarnation < m.incarnation {
		return nil
	}
	if incarnation > m.incarnation {
		return d.replace(now, process, m, incarnation)
	}
	if m.health == HealthLeft {
		return nil
	}
	m.heardAt = now
	return d.change(process, m, HealthAlive)
}

// replace puts a higher incarnation in place of the known one.
func (d *Detector) replace(now time.Time, process string, m *member, incarnation model.Incarnation) []HealthChange {
	var changes []HealthChange
	if m.health != HealthDead && m.health != HealthLeft {
		changes = d.change(process, m, HealthDead)
	}
	from := m.health
	*m = member{incarnation: incarnation, health: HealthAlive, heardAt: now}
	return append(changes, HealthChange{process, incarnation, from, HealthAlive})
}

// Left takes in that an incarnation of a process announced its end. Any other
// incarnation is ignored.
func (d *Detector) Left(now time.Time, process string, incarnation model.Incarnation) []HealthChange {
	m := d.members[process]
	if m == nil || m.incarnation != incarnation {
		return nil
	}
	m.heardAt = now
	return d.change(process, m, HealthLeft)
}

// Tick moves silent processes on. After a pause of the detector itself every
// process that was alive or suspect gets a full silence anew, since the
// silence was the detector's own.
func (d *Detector) Tick(now time.Time) []HealthChange {
	paused := !d.lastTick.IsZero() && now.Sub(d.lastTick) > d.limits.WakeGap
	d.lastTick = now
	var changes []HealthChange
	for _, process := range d.sorted() {
		m := d.members[process]
		if paused && (m.health == HealthAlive || m.health == HealthSuspect) {
			m.heardAt = now
		}
		changes = append(changes, d.age(now, process, m)...)
	}
	return changes
}

// age moves a process to the state that its silence calls for.
func (d *Detector) age(now time.Time, process string, m *member) []HealthChange {
	silence := now.Sub(m.heardAt)
	switch {
	case silence >= d.limits.ForgetAfter:
		delete(d.members, process)
		return d.change(process, m, HealthForgotten)
	case m.health == HealthLeft:
		return nil
	case silence >= d.limits.DeadAfter:
		return d.change(process, m, HealthDead)
	case silence >= d.limits.SuspectAfter && m.health == HealthAlive:
		return d.change(process, m, HealthSuspect)
	default:
		return nil
	}
}

// Health returns the health and incarnation of a process.
func (d *Detector) Health(process string) (Health, model.Incarnation) {
	m := d.members[process]
	if m == nil {
		return HealthForgotten, 0
	}
	return m.health, m.incarnation
}

// Alive returns the processes that are alive, sorted.
func (d *Detector) Alive() []string {
	var alive []string
	for _, process := range d.sorted() {
		if d.members[process].health == HealthAlive {
			alive = append(alive, process)
		}
	}
	return alive
}

func (d *Detector) change(process string, m *member, to Health) []HealthChange {
	if m.health == to {
		return nil
	}
	from := m.health
	m.health = to
	return []HealthChange{{process, m.incarnation, from, to}}
}

func (d *Detector) sorted() []string {
	names := make([]string, 0, len(d.members))
	for process := range d.members {
		names = append(names, process)
	}
	sort.Strings(names)
	return names
}
