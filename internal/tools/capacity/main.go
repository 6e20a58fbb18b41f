// Command capacity measures the cost of each role and its slope over the size
// of the fleet: first with the real codec and decision packages, then with
// regions of real processes that have nothing to do but control. It prints the
// tables from which docs/CAPACITY.md is written, and stops all that it started.
package main

import (
	"flag"
	"fmt"
	"os"

	"dragonflyyard/internal/capacity"
	"dragonflyyard/internal/settings"
)

func main() {
	deployment := flag.String("deployment", "samples/nordeste.yaml", "description of the region")
	binaries := flag.String("binaries", "bin", "folder with the built programs")
	processes := flag.Bool("processes", true, "measure regions of processes as well")
	flag.Parse()
	if err := run(*deployment, *binaries, *processes); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(path, binaries string, processes bool) error {
	if err := capacity.Report(os.Stdout); err != nil || !processes {
		return err
	}
	d, err := settings.LoadDeployment(path)
	if err != nil {
		return err
	}
	return measureProcesses(os.Stdout, d, binaries)
}
