// Command policy replays the seeded lists of both deployments and prints the
// tables of the policies against their baselines.
package main

import (
	"bufio"
	"fmt"
	"os"

	"dragonflyyard/internal/replay/jobs"
	"dragonflyyard/internal/replay/requests"
)

func main() {
	out := bufio.NewWriter(os.Stdout)
	fmt.Fprint(out, "## Job path\n\n")
	jobs.WriteTable(out, jobs.Compare())
	fmt.Fprint(out, "## Request path\n\n")
	err := requests.Run(out)
	if flushErr := out.Flush(); err == nil {
		err = flushErr
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
