package ctl

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against a faulty configuration that passes, and against a place that operators
// can't find in their file.
func TestConfigCheck(t *testing.T) {
	write := func(name, text string) string {
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	tail := `"services":[{"name":"s"}],"limits":{"max_body_bytes":9000},"tenants":[{"name":"t","api_keys":["k1"],"guaranteed":{"gpu":16}}]}`
	route := `{"name":"r","host":"h","path_prefix":"/p/","service":"s","max_attempts":4,"slack_factor":1.5}`
	sound := write("sound.json", `{"version":7,"routes":[`+route+`],`+tail)
	hidden := write("hidden.json", `{"version":8,"routes":[`+route+`,{"name":"q","host":"h","path_prefix":"/p/","service":"s"}],`+tail)
	cut := write("cut.json", "{\"version\":8,\n\"routes\":7}")
	runCtl(t, "", nil, "config", "check", sound).expect(t, ExitDone, "version 7: 0 findings, 0 changes")
	got := runCtl(t, "", nil, "config", "check", "--in-force", sound, hidden)
	got.expect(t, ExitCheckFailed, `routes[1].path_prefix: wrong: never matches: queue "r" has`)
	got.expect(t, ExitCheckFailed, "add queue q: host h, path /p/")
	runCtl(t, "", nil, "--json", "config", "check", "--accelerators", "8", sound).expect(t, ExitCheckFailed, `"place": "tenants[0].guaranteed.gpu"`)
	runCtl(t, "", nil, "config", "check", "--in-force", hidden, sound).expect(t, ExitCheckFailed, "version: wrong: is not above")
	runCtl(t, "", nil, "config", "check", cut).expect(t, ExitUsage, "line 2, column ")
	runCtl(t, "", nil, "config", "check", "no-such-file").expect(t, ExitUsage, "no such file")
}
