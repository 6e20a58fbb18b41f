package event

import (
	"fmt"
	"sort"
	"strings"
)

// Page returns the catalogue as the Markdown page docs/EVENTS.md.
func Page() string {
	var b strings.Builder
	b.WriteString("# Events\n\nGenerated from the catalogue in `internal/event` by `make docs`. Each log line and each entry of the\n" +
		"time line has one of these codes. Codes are never reused.\n\n" +
		"| code | name | level | meaning |\n| ---: | --- | --- | --- |\n")
	entries := Catalogue()
	sort.SliceStable(entries, func(i, j int) bool { return entries[i].Code < entries[j].Code })
	for _, e := range entries {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Code, e.Name, e.Level, e.Meaning)
	}
	return b.String()
}
