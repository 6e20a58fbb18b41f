package executor

import (
	"time"

	"dragonflyyard/internal/dedup"
	"dragonflyyard/internal/event"
	"dragonflyyard/internal/wire"
)

// stop begins the graceful stop: it notifies the entry hosts and lowers their
// credits to zero.
func (c *Core) stop(now time.Time) {
	if c.leaving {
		return
	}
	c.leaving = true
	c.stopAt = now
	c.lastEnd = now
	c.record(event.BackendServerLeaving, "", "")
	for _, l := range c.sortedLinks() {
		c.send(l, &wire.Leaving{Process: string(c.config.ID)})
	}
	c.allotCredits(now)
}

// checkStopped adds the action ReadyToStop, once, when the agent may exit. The
// agent keeps running for LeaveLinger and while requests run. While an answer is
// undelivered or the agent is still needed as a home, it keeps running for at most
// MaxLinger after the end of the last request.
func (c *Core) checkStopped(now time.Time) {
	if !c.leaving || c.stopped || len(c.running) > 0 || now.Before(c.stopAt.Add(c.config.LeaveLinger)) {
		return
	}
	overdue := !now.Before(c.lastEnd.Add(c.config.MaxLinger))
	if !overdue && (c.undelivered > 0 || c.isHomeNeeded(now)) {
		return
	}
	c.stopped = true
	c.actions = append(c.actions, ReadyToStop{})
}

// isHomeNeeded reports whether entry hosts may still send claims to this agent.
func (c *Core) isHomeNeeded(now time.Time) bool {
	return dedup.KeepsClaims(c.claims.Assignment(), c.config.ID, now.UnixMilli(), c.config.ClockSkewBound, c.config.LeaveLinger)
}
