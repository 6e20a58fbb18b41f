package entry

import (
	"slices"

	"dragonflyyard/internal/operatorapi"
)

// checkGuarantees describes the cover of each guarantee now, and without each
// availability zone.
func (s *Scheduler) checkGuarantees() operatorapi.GuaranteeCheck {
	check := operatorapi.GuaranteeCheck{
		Guarantees: []operatorapi.GuaranteeState{}, ZoneLosses: []operatorapi.ZoneLoss{},
	}
	totals := map[string]int{}
	for _, cell := range s.core.Cells() {
		totals[cell.Guarantee]++
		state := stateOf(&check.Guarantees, operatorapi.GuaranteeState{Name: cell.Guarantee, Account: cell.Account})
		state.Count++
		if cell.Covered {
			state.Covered++
			continue
		}
		state.Reason = cell.Why
	}
	for _, loss := range s.core.ZoneLosses() {
		zone := operatorapi.ZoneLoss{Zone: loss.Zone, Uncovered: []operatorapi.GuaranteeState{}}
		for _, key := range loss.Uncovered {
			name, account := s.core.CellGuarantee(key)
			state := stateOf(&zone.Uncovered, operatorapi.GuaranteeState{
				Name: name, Account: account, Count: totals[name], Covered: totals[name],
				Reason: "the other zones have no place for all of them",
			})
			state.Covered--
		}
		check.ZoneLosses = append(check.ZoneLosses, zone)
	}
	return check
}

// stateOf returns the state with a guarantee's name, appending it first when
// it is not there.
func stateOf(states *[]operatorapi.GuaranteeState, first operatorapi.GuaranteeState) *operatorapi.GuaranteeState {
	at := slices.IndexFunc(*states, func(g operatorapi.GuaranteeState) bool { return g.Name == first.Name })
	if at < 0 {
		*states = append(*states, first)
		at = len(*states) - 1
	}
	return &(*states)[at]
}
