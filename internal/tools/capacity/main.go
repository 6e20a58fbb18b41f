// Command capacity measures the cost of each role and its slope over the size
// of the fleet: first with the real codec and decision packages, then with
// regions of real processes that have nothing to do but control. It prints the
// tables from which docs/CAPACITY.md is written, and stops all that it started.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/capacity"
	"dragonflyyard/internal/settings"
)

func main() {
	deployment := flag.String("deployment", "samples/nordeste.yaml", "description of the region")
	binaries := flag.String("binaries", "bin", "folder with the built programs")
	packages := flag.Bool("packages", true, "measure the codec and the decision packages")
	agents := flag.String("agents", "5,11,22,44", "sizes of the regions of processes to measure; none if empty")
	links := flag.String("links", "200,800,1584", "numbers of links to measure one entry host with; none if empty")
	flag.Parse()
	if err := run(*deployment, *binaries, *packages, *agents, *links); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(path, binaries string, packages bool, agents, links string) error {
	if packages {
		if err := capacity.Report(os.Stdout); err != nil {
			return err
		}
	}
	agentCounts, err := parseSizes(agents)
	if err != nil {
		return err
	}
	linkCounts, err := parseSizes(links)
	if err != nil {
		return err
	}
	d, err := settings.LoadDeployment(path)
	if err != nil {
		return err
	}
	if err := measureProcesses(os.Stdout, d, binaries, agentCounts); err != nil {
		return err
	}
	return measureFleets(os.Stdout, d, binaries, linkCounts)
}

// parseSizes reads a list of numbers with commas between them.
func parseSizes(text string) ([]int, error) {
	if text == "" {
		return nil, nil
	}
	var sizes []int
	for _, field := range strings.Split(text, ",") {
		size, err := strconv.Atoi(field)
		if err != nil || size < 1 {
			return nil, errors.Newf("size %q of a region is no positive number", field)
		}
		sizes = append(sizes, size)
	}
	return sizes, nil
}
