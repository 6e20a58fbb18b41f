package executor

import (
	"sort"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

const (
	// creditSettle is how long a lowered credit is still accounted at its old
	// value, since dispatches sent under it may still be in transit.
	creditSettle = 100 * time.Millisecond
	// largestPreferenceTime is how long the largest request of one entry host is
	// preferred before the next entry host's turn.
	largestPreferenceTime = 500 * time.Millisecond
)

// link is a connected entry host with its credit and use of the backend server.
type link struct {
	entry      model.EntryID
	connection uint64
	// slots and connections count those in use by requests that this entry host
	// dispatched.
	slots       int
	connections int
	// demand is the number of slots that the entry host last requested, largest
	// the slots of the largest request queued there; demandSeq is the sequence
	// number of that Demand message.
	demandSeq uint64
	demand    int
	largest   int
	// sent is the last credit sent to the entry host, creditSeq its sequence
	// number; zero if none was sent.
	creditSeq uint64
	sent      wire.Credit
	// previous is the number of slots reserved before the last decrease; they stay
	// reserved until settledAt.
	previous  int
	settledAt time.Time
}

// reservedSlots returns the slots that this entry host uses or may still use
// under a credit that was sent to it.
func (l *link) reservedSlots(now time.Time) int {
	n := max(l.sent.Slots, l.slots)
	if now.Before(l.settledAt) {
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

// allotCredits recomputes the credits and sends those that changed. Decreases
// are sent before increases, and an increase takes only slots that no other
// entry host may still use, so that the sums of the credits stay within the
// limits.
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
		free -= l.reservedSlots(now)
	}
	for _, l := range order {
		if l.sent.Connections > c.config.Connections/len(order) {
			c.sendCredit(l, l.sent.Slots, len(order))
		}
	}
	for i, l := range order {
		grant := min(targets[i], l.reservedSlots(now)+max(0, free))
		if grant <= l.sent.Slots {
			continue
		}
		free -= max(0, grant-l.reservedSlots(now))
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

// lowerCredit sends a lower slot credit. The slots reserved before stay reserved
// for creditSettle.
func (c *Core) lowerCredit(now time.Time, l *link, slots int) {
	l.previous = l.reservedSlots(now)
	l.settledAt = now.Add(creditSettle)
	c.sendCredit(l, slots, len(c.links))
}

func (c *Core) sendCredit(l *link, slots, links int) {
	l.creditSeq++
	l.sent = wire.Credit{Seq: l.creditSeq, Slots: slots, Connections: c.config.Connections / max(1, links)}
	credit := l.sent
	c.send(l, &credit)
}

// targets returns the target slot credit of each link. Every entry host keeps
// the slots that it uses. Free slots go first to the link whose largest request
// is preferred, then one each to links without any, then evenly to links with
// unmet demand, then evenly to all.
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
	if i := c.preferredLargest(now, order); i >= 0 {
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

// preferredLargest returns the index of the link whose largest request is
// preferred now, or -1 if no request of several slots is queued.
func (c *Core) preferredLargest(now time.Time, order []*link) int {
	var waiting []int
	for i, l := range order {
		if l.largest > 1 && l.largest <= c.config.Slots {
			waiting = append(waiting, i)
		}
	}
	if len(waiting) == 0 {
		return -1
	}
	turn := now.UnixMilli() / largestPreferenceTime.Milliseconds()
	return waiting[int(turn%int64(len(waiting)))]
}

// fillEvenly distributes free slots one at a time to the lowest target that is
// below its limit. It returns the number of slots that remain free.
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

// orphanSlots returns the slots in use by requests whose entry host is not connected.
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
