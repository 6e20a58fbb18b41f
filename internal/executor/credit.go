package executor

import (
	"sort"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

const (
	// creditSettle is how long a lowered credit still counts at its old value,
	// since dispatches sent under the old one may be on their way.
	creditSettle = 100 * time.Millisecond
	// largestTurnTime is how long one entry host's largest request is preferred
	// before another's.
	largestTurnTime = 500 * time.Millisecond
)

// link is a connected entry host and its share of the backend server.
type link struct {
	entry      model.EntryID
	connection uint64
	// slots and connections are in use by requests that this entry host dispatched.
	slots       int
	connections int
	// demand is the slots that the entry host asked for last, largest the slots
	// of the largest request that waits there; demandSeq numbers its demands.
	demandSeq uint64
	demand    int
	largest   int
	// sent is the credit in force at the entry host, numbered by creditSeq.
	creditSeq uint64
	sent      wire.Credit
	// previous is the slot credit before the last decrease; it counts until settled.
	previous int
	settled  time.Time
}

// accounted returns the slots that have to be kept free for this entry host.
func (l *link) accounted(now time.Time) int {
	n := max(l.sent.Slots, l.slots)
	if now.Before(l.settled) {
		n = max(n, l.previous)
	}
	return n
}

func (c *Core) linkUp(now time.Time, in LinkUp) {
	if old := c.links[in.Entry]; old != nil {
		c.partial.forgetConnection(old.entry, old.connection)
	}
	l := &link{entry: in.Entry, connection: in.Connection}
	for _, r := range c.running {
		if r.entry == in.Entry {
			l.slots += r.slots
			l.connections++
		}
	}
	c.links[in.Entry] = l
	if c.leaving {
		c.send(l, &wire.Leaving{Process: string(c.config.ID)})
	}
	c.allotCredits(now)
}

func (c *Core) linkDown(now time.Time, in LinkDown) {
	l := c.links[in.Entry]
	if l == nil || l.connection != in.Connection {
		return
	}
	delete(c.links, in.Entry)
	c.partial.forgetConnection(in.Entry, in.Connection)
	c.allotCredits(now)
}

// allotCredits shares the slots and connections out anew and sends what has
// changed. Decreases go out before increases, and an increase takes only slots
// that no other entry host may still use, so that the sums of the credits stay
// inside the limits.
func (c *Core) allotCredits(now time.Time) {
	order := c.sortedLinks()
	targets := c.targets(now, order)
	free := c.config.Slots - c.orphanSlots()
	for i, l := range order {
		if targets[i] < l.sent.Slots {
			c.lowerCredit(now, l, targets[i])
		}
	}
	for _, l := range order {
		free -= l.accounted(now)
	}
	for _, l := range order {
		if l.sent.Connections > c.config.Connections/len(order) {
			c.sendCredit(l, l.sent.Slots, len(order))
		}
	}
	for i, l := range order {
		grant := min(targets[i], l.accounted(now)+max(0, free))
		if grant <= l.sent.Slots {
			continue
		}
		free -= max(0, grant-l.accounted(now))
		c.sendCredit(l, grant, len(order))
	}
	for _, l := range order {
		if l.creditSeq > 0 && l.sent.Connections != c.config.Connections/len(order) {
			c.sendCredit(l, l.sent.Slots, len(order))
		}
	}
	for _, l := range order {
		if l.creditSeq == 0 {
			c.sendCredit(l, 0, len(order))
		}
	}
}

// lowerCredit sends a lower slot credit. The former one counts for creditSettle.
func (c *Core) lowerCredit(now time.Time, l *link, slots int) {
	l.previous = l.accounted(now)
	l.settled = now.Add(creditSettle)
	c.sendCredit(l, slots, len(c.links))
}

func (c *Core) sendCredit(l *link, slots, links int) {
	l.creditSeq++
	l.sent = wire.Credit{Seq: l.creditSeq, Slots: slots, Connections: c.config.Connections / max(1, links)}
	credit := l.sent
	c.send(l, &credit)
}

// targets returns the wanted slot credit of each link. Every entry host keeps
// what it uses; the rest goes to those with unmet demand, then evenly to all.
func (c *Core) targets(now time.Time, order []*link) []int {
	targets := make([]int, len(order))
	if c.leaving || len(order) == 0 {
		return targets
	}
	free := c.config.Slots - c.orphanSlots()
	for i, l := range order {
		targets[i] = l.slots
		free -= l.slots
	}
	if i := c.largestTurn(now, order); i >= 0 {
		extra := min(max(0, free), max(0, order[i].largest+order[i].slots-targets[i]))
		targets[i] += extra
		free -= extra
	}
	for i := range order {
		if free > 0 && targets[i] == 0 {
			targets[i]++
			free--
		}
	}
	free = fillEvenly(targets, free, func(i int) int { return order[i].demand })
	fillEvenly(targets, free, func(int) int { return c.config.Slots })
	return targets
}

// largestTurn returns the index of the link whose largest request is preferred, or -1.
func (c *Core) largestTurn(now time.Time, order []*link) int {
	var waiting []int
	for i, l := range order {
		if l.largest > 1 && l.largest <= c.config.Slots {
			waiting = append(waiting, i)
		}
	}
	if len(waiting) == 0 {
		return -1
	}
	turn := now.UnixMilli() / largestTurnTime.Milliseconds()
	return waiting[int(turn%int64(len(waiting)))]
}

// fillEvenly raises the lowest targets by one at a time up to their limits.
func fillEvenly(targets []int, free int, limit func(int) int) int {
	for free > 0 {
		lowest := -1
		for i := range targets {
			if targets[i] < limit(i) && (lowest < 0 || targets[i] < targets[lowest]) {
				lowest = i
			}
		}
		if lowest < 0 {
			return free
		}
		targets[lowest]++
		free--
	}
	return free
}

// orphanSlots returns the slots of started requests whose entry host is not connected.
func (c *Core) orphanSlots() int {
	n := c.slotsInUse
	for _, l := range c.links {
		n -= l.slots
	}
	return n
}

func (c *Core) sortedLinks() []*link {
	order := make([]*link, 0, len(c.links))
	for _, l := range c.links {
		order = append(order, l)
	}
	sort.Slice(order, func(i, j int) bool { return order[i].entry < order[j].entry })
	return order
}
