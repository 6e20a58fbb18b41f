package tablestore

import (
	"testing"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/storeapi"
)

func TestDecodeReads(t *testing.T) {
	cases := []struct {
		name, body string
		list, ok   bool
	}{
		{"row", `{"key":"p/b","value":"AQ==","version":2}`, false, true},
		{"row of another key", `{"key":"p/c","value":"AQ==","version":2}`, false, false},
		{"row without a version", `{"key":"p/b","value":"AQ=="}`, false, false},
		{"empty object for a row", `{}`, false, false},
		{"null for a row", `null`, false, false},
		{"truncated row", `{"key":"p/b","value":"AQ=`, false, false},
		{"rows", `{"rows":[{"key":"p/b","version":1},{"key":"p/c","version":1}]}`, true, true},
		{"no rows", `{"rows":[]}`, true, true},
		{"rows out of order", `{"rows":[{"key":"p/c","version":1},{"key":"p/b","version":1}]}`, true, false},
		{"duplicate row", `{"rows":[{"key":"p/b","version":1},{"key":"p/b","version":1}]}`, true, false},
		{"rows of another prefix", `{"rows":[{"key":"q/b","version":1}]}`, true, false},
		{"rows before the page", `{"rows":[{"key":"p/a","version":1}]}`, true, false},
		{"too many rows", `{"rows":[{"key":"p/b","version":1},{"key":"p/c","version":1},{"key":"p/d","version":1}]}`, true, false},
		{"empty object for rows", `{}`, true, false},
		{"null for rows", `{"rows":null}`, true, true},
		{"truncated rows", `{"rows":[`, true, false},
	}
	for _, c := range cases {
		_, err := decodeRow([]byte(c.body), "p/b")
		if c.list {
			_, err = decodeRows([]byte(c.body), "p/", "p/a", 2)
		}
		if (err == nil) != c.ok || (err != nil && !errors.Is(err, storeapi.ErrUnavailable)) {
			t.Errorf("%s: got %v", c.name, err)
		}
	}
}

func FuzzDecodeReads(f *testing.F) {
	f.Add([]byte(`{"key":"p/b","value":"AQ==","version":2}`))
	f.Add([]byte(`{"rows":[{"key":"p/b","version":1},{"key":"p/c","version":1}]}`))
	f.Add([]byte(`{"rows":null}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if row, err := decodeRow(body, "p/b"); err == nil && (row.Key != "p/b" || row.Version == 0) {
			t.Errorf("accepted %+v", row)
		}
		rows, err := decodeRows(body, "p/", "p/a", 2)
		if err != nil {
			return
		}
		last := "p/a"
		for _, row := range rows {
			if row.Key <= last || row.Key[:2] != "p/" {
				t.Errorf("accepted %+v", rows)
			}
			last = row.Key
		}
	})
}
