package tablestore

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/storeapi"
)

// decodeRow decodes the answer to a read of one row. It refuses the row of
// another key and one without a version.
func decodeRow(body []byte, key string) (storeapi.Row, error) {
	var row storeapi.Row
	if err := json.Unmarshal(body, &row); err != nil {
		return storeapi.Row{}, malformed("row %q: %v", key, err)
	}
	if row.Key != key || row.Version == 0 {
		return storeapi.Row{}, malformed("row %q: got %q of version %d", key, row.Key, row.Version)
	}
	return row, nil
}

// decodeRows decodes the answer to a list. It refuses rows that were not asked
// for, that are out of order and that are more than the limit.
func decodeRows(body []byte, prefix, after string, limit int) ([]storeapi.Row, error) {
	var page struct {
		Rows json.RawMessage `json:"rows"`
	}
	if err := json.Unmarshal(body, &page); err != nil {
		return nil, malformed("rows %q: %v", prefix, err)
	}
	var rows []storeapi.Row
	if err := json.Unmarshal(page.Rows, &rows); err != nil || len(rows) > max(limit, 0) {
		return nil, malformed("rows %q: no list of up to %d rows", prefix, limit)
	}
	for _, row := range rows {
		if !strings.HasPrefix(row.Key, prefix) || row.Key <= after || row.Version == 0 {
			return nil, malformed("rows %q after %q: got %q of version %d", prefix, after, row.Key, row.Version)
		}
		after = row.Key
	}
	return rows, nil
}

func malformed(format string, args ...any) error {
	return errors.Wrapf(storeapi.ErrUnavailable, "malformed answer: "+format, args...)
}
