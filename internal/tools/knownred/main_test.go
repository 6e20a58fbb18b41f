package main

import (
	"strings"
	"testing"
)

func TestReport(t *testing.T) {
	const failing = `{"Action":"fail","Package":"p","Test":"TestA/x"}
{"Action":"fail","Package":"p","Test":"TestA"}
{"Action":"fail","Package":"p"}
{"Action":"pass","Package":"p","Test":"TestB"}
`
	// go test reports a test that hung by its output only.
	const hung = `{"Action":"run","Package":"p","Test":"TestA"}
{"Action":"fail","Package":"p","Test":"TestA"}
{"Action":"run","Package":"p","Test":"TestB"}
{"Action":"output","Package":"p","Test":"TestB","Output":"panic: test timed out after 20m0s"}
{"Action":"fail","Package":"p"}
`
	const ended = `{"Action":"run","Package":"p","Test":"TestA"}
{"Action":"skip","Package":"p","Test":"TestA"}
{"Action":"run","Package":"p","Test":"TestB"}
{"Action":"pass","Package":"p","Test":"TestB"}
`
	cases := []struct {
		name, list, stream string
		code               int
		line               string
	}{
		{"unlisted failure", "", failing, 1, "1 passed, 3 failed"},
		{"listed subtest", "test: p TestA/x\nseen: it fails", failing, 0, "1 passed, 0 failed"},
		{"other test listed", "test: p TestC", failing, 1, "1 passed, 3 failed"},
		{"package fails without a test", "test: p TestA/x", `{"Action":"fail","Package":"q"}`, 1, "0 passed, 1 failed"},
		{"hung beside a listed failure", "test: p TestA", hung, 1, "0 passed, 2 failed"},
		{"output of a hung test", "test: p TestA", hung, 1, "FAILED p TestB\npanic: test timed out after 20m0s"},
		{"skipped and passed", "", ended, 0, "1 passed, 0 failed"},
		{"all pass", "", `{"Action":"pass","Package":"p","Test":"TestB"}`, 0, "1 passed, 0 failed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out strings.Builder
			code := report(&out, collect(strings.NewReader(c.stream)), parseList(c.list), nil)
			if code != c.code || !strings.Contains(out.String(), c.line) {
				t.Errorf("code %d, output:\n%s", code, out.String())
			}
		})
	}
}
