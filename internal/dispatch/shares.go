package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dragonflyyard/internal/fairshare"
	"dragonflyyard/internal/workload"
)

// shares is the state of the weighing of accounts against each other.
type shares struct {
	ledger fairshare.Ledger
	// over holds the groups that were last logged as using more than their share.
	over map[fairshare.Group]bool
}

// contendedAfter is how long a unit waits before its account competes for a larger share.
// Units that wait for less are held up by stops and starts, not by other accounts.
const contendedAfter = time.Second

// weighShares marks the units of accounts that use more than their share. Claims and
// priorities go before it, work decides within it. Urgent work is shared by guarantees.
func (c *Core) weighShares(now Now, units []*unit) {
	if !c.settings.FairShares {
		return
	}
	uses := map[fairshare.Group]fairshare.Use{}
	for _, j := range c.jobs {
		if len(j.orders) == 0 {
			continue
		}
		use := uses[j.group()]
		for _, o := range j.orders {
			use.Held = use.Held.Add(o.demand)
		}
		uses[j.group()] = use
	}
	for _, u := range units {
		use := uses[u.job.group()]
		use.Waiting = use.Waiting || (u.job.Priority > 0 && now.elapsedSince(u.readyMS) >= contendedAfter)
		uses[u.job.group()] = use
	}
	standings := c.shares.ledger.Weigh(now.StoreMS, c.capacityByService(), uses, c.guaranteed)
	for _, u := range units {
		u.rank.overShare = u.job.Priority > 0 && standings[u.job.group()].Over()
	}
	c.recordShares(standings)
}

func (j *job) group() fairshare.Group { return fairshare.Group{Service: j.Service, Account: j.Account} }

// capacityByService returns the capacity of the workers that are not gone, by service.
func (c *Core) capacityByService() map[string]workload.Resources {
	out := map[string]workload.Resources{}
	for _, w := range c.workers {
		if w.State != workload.WorkerGone {
			out[w.Service] = out[w.Service].Add(w.Capacity)
		}
	}
	return out
}

// recordShares records the groups that begin or cease to use more than their share.
func (c *Core) recordShares(standings map[fairshare.Group]fairshare.Standing) {
	over := map[fairshare.Group]bool{}
	for group, standing := range standings {
		if standing.Over() {
			over[group] = true
		}
	}
	for _, group := range sortedGroups(over) {
		if !c.shares.over[group] {
			s := standings[group]
			c.recordDecision(Decision{Kind: "account_over_share", AgeMS: 0,
				Reason: fmt.Sprintf("account %s uses %.2f of service %s and is entitled to %.2f", group.Account, s.Used, group.Service, s.Entitled)})
		}
	}
	for _, group := range sortedGroups(c.shares.over) {
		if !over[group] {
			c.recordDecision(Decision{Kind: "account_within_share", AgeMS: 0, Reason: fmt.Sprintf("account %s of service %s", group.Account, group.Service)})
		}
	}
	c.shares.over = over
}

// AccountsOverShare returns the number of accounts that the last plan put back, counted
// once for each service.
func (c *Core) AccountsOverShare() int { return len(c.shares.over) }

func sortedGroups(set map[fairshare.Group]bool) []fairshare.Group {
	out := make([]fairshare.Group, 0, len(set))
	for group := range set {
		out = append(out, group)
	}
	slices.SortFunc(out, func(a, b fairshare.Group) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Account, b.Account))
	})
	return out
}

// learnedShares returns what accounts have used lately, in a fixed order, or nothing
// where no account is guaranteed anything.
func (c *Core) learnedShares() []fairshare.Recent {
	for _, g := range c.guaranteed {
		if g > 0 && c.settings.FairShares {
			recent := c.shares.ledger.Recent()
			slices.SortFunc(recent, func(a, b fairshare.Recent) int {
				return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Account, b.Account))
			})
			return recent
		}
	}
	return nil
}
