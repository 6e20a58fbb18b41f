package configstore

import (
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
)

// changeTransaction returns the transaction that writes a change as the next version.
func (c *Core) changeTransaction(change model.ConfigChange) storeapi.Transaction {
	change.Version = c.document.Version + 1
	snapshot := max(c.head.Snapshot, c.latestSnapshot)
	head := Head{Version: change.Version, Snapshot: snapshot, Change: change.ID}
	tx := storeapi.Transaction{
		Checks: []storeapi.Check{{Key: HeadKey, Version: c.headRowVersion}, {Key: idKey(change.ID)}},
		Puts: []storeapi.Put{
			{Key: HeadKey, Value: encode(head)},
			{Key: ChangeKey(change.Version), Value: encode(change)},
			{Key: idKey(change.ID), Value: encode(changeIDRow{Version: change.Version, Digest: digestOf(change)})},
		},
	}
	tx.Checks = appendCheck(tx.Checks, c.memberCheck)
	tx.Deletes = c.expiredRows(change.Version, snapshot)
	return tx
}

// expiredRows returns the keys of the rows to delete when version is written:
// those of the change that falls out of the retention window. Changes not
// covered by a snapshot are kept.
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

// appendCheck appends a check unless its key is empty, which means no check.
func appendCheck(checks []storeapi.Check, check storeapi.Check) []storeapi.Check {
	if check.Key == "" {
		return checks
	}
	return append(checks, check)
}
