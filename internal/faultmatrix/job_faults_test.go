package faultmatrix

import (
	"time"

	"dragonflyyard/internal/model"
)

// networkTime is how long a faulty network lasts in a cell.
const networkTime = 3 * time.Second

// jobFaults are the faults of the rows that the job path's cells drive.
func jobFaults() []Fault {
	return []Fault{
		ObjectStoreDown, OperatorsRacing, HostKilled, ProcessFrozen, ConnectionSilent, ConnectionCut, ConnectionSlow, MessageDuplicated, MessageReordered, MessageLost,
		TableDown, TableSlow, TableAnswerLost, LeaseLapsed, EntryKilled, AgentKilled, OwnerKilled, OwnerDeposed, SecondFault,
	}
}

// inject puts a fault in now.
func (r *jobRig) inject(f Fault) {
	r.notef("fault %s", f)
	h := r.host()
	switch f {
	case HostKilled:
		r.crash(h)
	case ProcessFrozen:
		r.freezeOwner(time.Second)
	case ConnectionSilent:
		r.silent[h.Worker.ID] = r.d.Now.Add(2 * time.Second)
		r.d.After(1500*time.Millisecond, func() { r.lose(h) })
		r.d.After(2100*time.Millisecond, h.Reconnect)
	case ConnectionCut:
		r.lose(h)
		r.d.After(200*time.Millisecond, h.Reconnect)
	case LeaseLapsed:
		h.Frozen = true
		r.d.After(4*time.Second, h.Thaw)
	case EntryKilled, OwnerKilled:
		r.d.Kill(r.d.Owner)
		r.elect(3 * time.Second)
	case ObjectStoreDown:
		// The object store matters to a new owner alone: it finds no snapshot.
		r.objectsDown, r.d.Snapshot = true, nil
		r.d.Kill(r.d.Owner)
		r.elect(3 * time.Second)
	case AgentKilled:
		h.RestartAgent()
	case OwnerDeposed:
		old := r.d.Owner
		old.Paused = true
		r.elect(3 * time.Second)
		r.d.After(5*time.Second, func() { r.d.Wake(old) })
	case OperatorsRacing:
		r.race(h.Worker.Zone)
	case SecondFault:
		r.crash(h)
		r.d.After(700*time.Millisecond, func() { r.inject(OwnerKilled) })
	default:
		if !r.injectTable(f) {
			r.injectNetwork(f)
		}
	}
}

// injectTable applies a fault of the table service. It returns false for others.
func (r *jobRig) injectTable(f Fault) bool {
	until := r.d.Now.Add(networkTime)
	switch f {
	case TableDown:
		r.storeDown = until
	case TableSlow:
		r.storeSlow = until
	case TableAnswerLost:
		r.answersLost = until
	default:
		return false
	}
	return true
}

// injectNetwork makes the whole network faulty for a while.
func (r *jobRig) injectNetwork(f Fault) {
	base := r.d.Options.Latency
	r.networkUntil = r.d.Now.Add(networkTime)
	r.network = func() []time.Duration {
		switch f {
		case ConnectionSlow:
			return []time.Duration{base + 300*time.Millisecond}
		case MessageDuplicated:
			return []time.Duration{base, base + 50*time.Millisecond}
		case MessageReordered:
			return []time.Duration{base + time.Duration(r.rng.IntN(200))*time.Millisecond}
		default:
			if r.rng.IntN(4) == 0 {
				return nil
			}
			return []time.Duration{base}
		}
	}
}

// freezeOwner pauses the owner for less than its lease.
func (r *jobRig) freezeOwner(length time.Duration) {
	owner := r.d.Owner
	if owner.Paused {
		return
	}
	owner.Paused = true
	r.d.After(length, func() {
		if r.d.Owner == owner {
			r.d.Wake(owner)
		}
	})
}

// race lets one operator take a zone out and another put it back at once.
func (r *jobRig) race(zone model.AvailabilityZoneName) {
	r.zone(zone, 5*time.Millisecond)
}
