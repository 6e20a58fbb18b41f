package tablestore

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/storeapi"
)

// decodeRow decodes the response to a read of one row. It rejects a row with
// another key or without a version.
func decodeRow(body []byte, key string) (storeapi.Row, error) {
	var row storeapi.Row
	if err := json.Unmarshal(body, &row); err != nil {
		return storeapi.Row{}, malformed("row %q: %v", key, err)
	}
	if row.Key != key || row.Version == 0 {
		return storeapi.Row{}, malformed("row %q: got key %q with version %d", key, row.Key, row.Version)
	}
	return row, nil
}

// decodeRows decodes the response to a list. It rejects rows that are outside the
// requested range, out of order or without a version, and more rows than limit.
func decodeRows(body []byte, prefix, after string, limit int) ([]storeapi.Row, error) {
	var page struct {
		Rows json.RawMessage `json:"rows"`
	}
	if err := json.Unmarshal(body, &page); err != nil {
		return nil, malformed("rows %q: %v", prefix, err)
	}
	var rows []storeapi.Row
	if err := json.Unmarshal(page.Rows, &rows); err != nil || len(rows) > max(limit, 0) {
		return nil, malformed("rows %q: not a list of at most %d rows", prefix, limit)
	}
	for _, row := range rows {
		if !strings.HasPrefix(row.Key, prefix) || row.Key <= after || row.Version == 0 {
			return nil, malformed("rows %q after %q: got key %q with version %d", prefix, after, row.Key, row.Version)
		}
		after = row.Key
	}
	return rows, nil
}

func malformed(format string, args ...any) error {
	return errors.Wrapf(storeapi.ErrUnavailable, "malformed response: "+format, args...)
}
