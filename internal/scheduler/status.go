package scheduler

import (
	"dragonflyyard/internal/guarantee"
	"dragonflyyard/internal/model"
)

// CellStatus says whether one guaranteed cell has a place.
type CellStatus struct {
	Guarantee string
	Account   model.ClientAccountID
	Covered   bool
	// Why says why the cell has no place; empty when it has one.
	Why string
}

// Cells returns the state of each guaranteed cell, in the order of their keys.
func (c *Core) Cells() []CellStatus {
	keys := c.ledger.Keys()
	out := make([]CellStatus, 0, len(keys))
	for _, key := range keys {
		cell := c.ledger.Cell(key)
		out = append(out, CellStatus{
			Guarantee: cell.Name, Account: cell.Account, Covered: cell.Covered(), Why: c.ledger.UncoveredReason(key),
		})
	}
	return out
}

// ZoneLosses returns, for each availability zone, the cells that would have no
// place without it.
func (c *Core) ZoneLosses() []guarantee.ZoneLoss { return c.ledger.CheckZoneLoss() }

// CellGuarantee returns the guarantee and the account of a cell's key.
func (c *Core) CellGuarantee(key string) (string, model.ClientAccountID) {
	cell := c.ledger.Cell(key)
	if cell == nil {
		return key, ""
	}
	return cell.Name, cell.Account
}

// IsRecovering reports whether a new owner still waits for the agents'
// reports. Until then it does not know the fleet.
func (c *Core) IsRecovering() bool { return !c.recoverUntil.IsZero() }
