package configstore

import (
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
)

// changeTransaction returns the transaction that makes a change the next version.
func (c *Core) changeTransaction(change model.ConfigChange) storeapi.Transaction {
	change.Version = c.document.Version + 1
	snapshot := max(c.head.Snapshot, c.snapshot)
	head := Head{Version: change.Version, Snapshot: snapshot, Change: change.ID}
	tx := storeapi.Transaction{
		Checks: []storeapi.Check{{Key: HeadKey, Version: c.headRow}, {Key: idKey(change.ID)}},
		Puts: []storeapi.Put{
			{Key: HeadKey, Value: encode(head)},
			{Key: ChangeKey(change.Version), Value: encode(change)},
			{Key: idKey(change.ID), Value: encode(changeID{Version: change.Version, Digest: digestOf(change)})},
		},
	}
	tx.Checks = appendCheck(tx.Checks, c.member)
	tx.Deletes = c.expiredRows(change.Version, snapshot)
	return tx
}

// expiredRows lists the rows of the change that leaves the retention with a
// new version. Rows that no snapshot covers are kept.
func (c *Core) expiredRows(version, snapshot model.ConfigVersion) []string {
	if int(version) <= c.limits.Retention {
		return nil
	}
	expired := version - model.ConfigVersion(c.limits.Retention)
	if expired > snapshot {
		return nil
	}
	rows := []string{ChangeKey(expired)}
	if change := c.findVersion(expired); change != nil {
		rows = append(rows, idKey(change.ID))
	}
	return rows
}

// appendCheck appends a check unless it has no key, which stands for none.
func appendCheck(checks []storeapi.Check, check storeapi.Check) []storeapi.Check {
	if check.Key == "" {
		return checks
	}
	return append(checks, check)
}
