// Package fairshare decides which accounts use more than their share of the workers, so
// that their waiting work comes after that of the others.
//
// Load pattern: one account submits many short jobs, others a few larger ones. By
// remaining work alone the short ones always come first, and the other accounts wait
// until their jobs are worthless.
//
// Shares are dominant shares: of accelerators, cores and memory, the largest part of the
// workers' capacity that an account holds. What it held lately counts as well, so that
// runs which end between two decisions are not forgotten. Accounts share in proportion
// to what they are guaranteed.
package fairshare

import (
	"math"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/workload"
)

// halfLife is the time after which past use counts half. It is about the length of the
// longer jobs, so that an account does not pay for use from before its current work.
const halfLife = 10 * time.Second

// Group is the work that an account has for the workers of one service.
type Group struct {
	Service string
	Account model.ClientAccountID
}

// Use is what a group holds and whether it has work that waits.
type Use struct {
	Held    workload.Resources
	Waiting bool
}

// Standing is a group's position among those that compete with it.
type Standing struct {
	// Used is the larger of the dominant shares that the group holds and has held on
	// average lately, from 0 to 1. Entitled is its share by weight.
	Used, Entitled float64
}

// Over reports whether the group uses more than its share, so that its waiting work comes
// after that of the others.
func (s Standing) Over() bool { return s.Used > s.Entitled }

// Ledger keeps what the groups have held lately. The zero value is empty. It is not safe
// for concurrent use.
type Ledger struct {
	recent map[Group]float64
	asOfMS int64
}

// Weigh records what the groups hold at a time, in milliseconds of one clock, and returns
// the standing of each that competes. Groups of a service compete if at least two have
// work and one of them waits. Without a positive guarantee nothing is weighed.
func (l *Ledger) Weigh(nowMS int64, capacity map[string]workload.Resources, uses map[Group]Use, guaranteed map[model.ClientAccountID]int) map[Group]Standing {
	held := make(map[Group]float64, len(uses))
	for group, use := range uses {
		held[group] = dominantShare(use.Held, capacity[group.Service])
	}
	l.record(nowMS, held)
	least := leastGuarantee(guaranteed)
	if least == 0 {
		return nil
	}
	total, competing, waiting := map[string]int{}, map[string]int{}, map[string]bool{}
	for group, use := range uses {
		total[group.Service] += weight(group.Account, guaranteed, least)
		competing[group.Service]++
		waiting[group.Service] = waiting[group.Service] || use.Waiting
	}
	out := map[Group]Standing{}
	for group := range uses {
		if competing[group.Service] < 2 || !waiting[group.Service] {
			continue
		}
		out[group] = Standing{
			Used:     max(held[group], l.recent[group]),
			Entitled: float64(weight(group.Account, guaranteed, least)) / float64(total[group.Service]),
		}
	}
	return out
}

// record moves the averages to a time. A clock that was set back changes nothing.
func (l *Ledger) record(nowMS int64, held map[Group]float64) {
	if l.recent == nil {
		l.recent = map[Group]float64{}
	}
	kept := 1.0
	if l.asOfMS != 0 {
		kept = math.Exp2(-float64(max(0, nowMS-l.asOfMS)) / float64(halfLife.Milliseconds()))
	}
	l.asOfMS = max(l.asOfMS, nowMS)
	for group := range held {
		if _, known := l.recent[group]; !known {
			l.recent[group] = 0
		}
	}
	for group, before := range l.recent {
		after := kept*before + (1-kept)*held[group]
		if after < resolution/2 && held[group] == 0 {
			delete(l.recent, group)
			continue
		}
		l.recent[group] = after
	}
}

// resolution is the precision to which averages are stored, so that the stored row does
// not change with each plan.
const resolution = 0.01

// Recent is the stored average of a group, in hundredths of the service's capacity.
type Recent struct {
	Service string                `codec:"s"`
	Account model.ClientAccountID `codec:"a"`
	Percent int                   `codec:"p"`
}

// Recent returns the averages to be stored, in no particular order.
func (l *Ledger) Recent() []Recent {
	var out []Recent
	for group, share := range l.recent {
		if percent := int(math.Round(share / resolution)); percent > 0 {
			out = append(out, Recent{group.Service, group.Account, percent})
		}
	}
	return out
}

// Restore replaces the averages by stored ones of a time. Times before it change nothing.
func (l *Ledger) Restore(asOfMS int64, stored []Recent) {
	l.recent, l.asOfMS = make(map[Group]float64, len(stored)), asOfMS
	for _, r := range stored {
		l.recent[Group{r.Service, r.Account}] = float64(min(max(r.Percent, 0), 100)) * resolution
	}
}

// weight returns an account's weight: its guarantee, or the least one if it has none.
func weight(account model.ClientAccountID, guaranteed map[model.ClientAccountID]int, least int) int {
	return max(guaranteed[account], least)
}

// leastGuarantee returns the smallest positive guarantee, or 0.
func leastGuarantee(guaranteed map[model.ClientAccountID]int) int {
	least := 0
	for _, g := range guaranteed {
		if g > 0 && (least == 0 || g < least) {
			least = g
		}
	}
	return least
}

// dominantShare returns the largest share of a capacity that an amount takes, at most 1.
func dominantShare(held, capacity workload.Resources) float64 {
	share := 0.0
	for _, d := range [][2]int{
		{held.Accelerators, capacity.Accelerators}, {held.MilliCores, capacity.MilliCores}, {held.MemoryMB, capacity.MemoryMB},
	} {
		if d[1] > 0 {
			share = max(share, float64(d[0])/float64(d[1]))
		}
	}
	return min(share, 1)
}
