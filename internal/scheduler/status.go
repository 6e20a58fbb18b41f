package scheduler

import (
	"dragonflyyard/internal/guarantee"
	"dragonflyyard/internal/model"
)

// CellStatus reports whether a guaranteed cell is covered.
type CellStatus struct {
	Guarantee string
	Account   model.ClientAccountID
	Covered   bool
	// Why is the reason why the cell is not covered; empty if it is.
	Why string
}

// Cells returns the state of each guaranteed cell, ordered by key.
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

// ZoneLosses returns, for each availability zone, the cells that would not be
// covered without it.
func (c *Core) ZoneLosses() []guarantee.ZoneLoss { return c.ledger.CheckZoneLoss() }

// CellGuarantee returns the guarantee and account to which a cell's key
// belongs. For an unknown key it returns the key and no account.
func (c *Core) CellGuarantee(key string) (string, model.ClientAccountID) {
	cell := c.ledger.Cell(key)
	if cell == nil {
		return key, ""
	}
	return cell.Name, cell.Account
}

// IsRecovering reports whether a new owner still waits for the agents' reports.
// Until they arrive it does not know the whole fleet.
func (c *Core) IsRecovering() bool { return !c.recoverUntil.IsZero() }
