// Command knownred runs "go test -json" with the given arguments and passes
// over exactly the failing tests that a list names. Each entry of the list has
// a line "test: PACKAGE TESTNAME"; its other lines describe the failure.
//
// It exits with 0 when every failing test is listed, with 1 otherwise. Its last
// line is "N passed, N failed", where listed tests are counted in neither.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sort"
	"strings"
)

// testEvent is one line of "go test -json".
type testEvent struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// result collects what a test run reported.
type result struct {
	passed  map[string]bool
	failed  map[string]bool
	running map[string]bool
	output  map[string][]string
	outside []string
}

func main() {
	list := flag.String("list", "KNOWN-RED.txt", "file that lists the tests known to fail")
	flag.Parse()
	known, err := readList(*list)
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
	res, runErr := runTests(flag.Args())
	os.Exit(report(os.Stdout, res, known, runErr))
}

func readList(path string) (map[string]bool, error) {
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return map[string]bool{}, nil
	}
	if err != nil {
		return nil, err
	}
	return parseList(string(data)), nil
}

func parseList(text string) map[string]bool {
	known := map[string]bool{}
	for _, line := range strings.Split(text, "\n") {
		rest, ok := strings.CutPrefix(strings.TrimSpace(line), "test:")
		fields := strings.Fields(rest)
		if ok && len(fields) == 2 {
			known[fields[0]+" "+fields[1]] = true
		}
	}
	return known
}

func runTests(args []string) (*result, error) {
	cmd := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	cmd.Stderr = os.Stderr
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return newResult(), err
	}
	if err := cmd.Start(); err != nil {
		return newResult(), err
	}
	res := collect(stdout)
	return res, cmd.Wait()
}

func newResult() *result {
	return &result{passed: map[string]bool{}, failed: map[string]bool{}, running: map[string]bool{}, output: map[string][]string{}}
}

func collect(r io.Reader) *result {
	res := newResult()
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 1<<20), 1<<26)
	for scanner.Scan() {
		var e testEvent
		if json.Unmarshal(scanner.Bytes(), &e) != nil {
			res.outside = append(res.outside, scanner.Text())
			continue
		}
		res.add(e)
	}
	res.failUnfinished()
	return res
}

// failUnfinished counts tests that began and never ended as failed. Such a test
// hung until the timeout, or took its process down; "go test" reports a failure
// of its package only.
func (r *result) failUnfinished() {
	for name := range r.running {
		r.failed[name] = true
	}
}

func (r *result) add(e testEvent) {
	name := strings.TrimSpace(e.Package + " " + e.Test)
	switch e.Action {
	case "run":
		r.running[name] = true
	case "skip":
		delete(r.running, name)
	case "pass":
		delete(r.running, name)
		if e.Test != "" {
			r.passed[name] = true
		}
	case "fail":
		delete(r.running, name)
		r.failed[name] = true
	case "output":
		r.output[name] = append(r.output[name], e.Output)
	case "build-output":
		r.outside = append(r.outside, strings.TrimRight(e.Output, "\n"))
	}
}

// report prints the run and returns the exit code.
func report(w io.Writer, res *result, known map[string]bool, runErr error) int {
	unexpected, red := classify(res, known)
	for _, line := range res.outside {
		fmt.Fprintln(w, line)
	}
	for _, name := range unexpected {
		fmt.Fprintf(w, "FAILED %s\n%s", name, strings.Join(res.output[name], ""))
	}
	for _, name := range red {
		fmt.Fprintf(w, "known red, passed over: %s\n", name)
	}
	for name := range known {
		if res.passed[name] {
			fmt.Fprintf(w, "listed as red but passed: %s\n", name)
		}
	}
	fmt.Fprintf(w, "%d passed, %d failed\n", len(res.passed), len(unexpected))
	if len(unexpected) > 0 {
		return 1
	}
	if runErr != nil && len(red) == 0 {
		fmt.Fprintln(w, "go test:", runErr)
		return 1
	}
	return 0
}

// classify splits the failures into unexpected ones and listed ones. A package,
// or a parent test, that fails only because of listed tests counts as neither.
func classify(res *result, known map[string]bool) (unexpected, red []string) {
	for name := range res.failed {
		switch {
		case known[name]:
			red = append(red, name)
		case !explainedByChildren(name, res, known):
			unexpected = append(unexpected, name)
		}
	}
	sort.Strings(unexpected)
	sort.Strings(red)
	return unexpected, red
}

// explainedByChildren reports whether a failed package or test has failed
// children and all of them are listed or themselves explained.
func explainedByChildren(name string, res *result, known map[string]bool) bool {
	if strings.Contains(strings.Join(res.output[name], ""), "DATA RACE") {
		return false
	}
	found := false
	for child := range res.failed {
		if !isChild(name, child) {
			continue
		}
		found = true
		if !known[child] && !explainedByChildren(child, res, known) {
			return false
		}
	}
	return found
}

// isChild reports whether child is a test of the package name, or a subtest of
// the test name.
func isChild(name, child string) bool {
	if !strings.Contains(name, " ") {
		return strings.HasPrefix(child, name+" ")
	}
	return strings.HasPrefix(child, name+"/")
}
