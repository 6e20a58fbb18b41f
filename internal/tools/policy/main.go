// Command policy replays the seeded lists of both deployments and prints one
// table of the policies against their baselines.
package main

import (
	"bufio"
	"fmt"
	"os"

	"dragonflyyard/internal/replay/jobs"
)

func main() {
	out := bufio.NewWriter(os.Stdout)
	fmt.Fprint(out, "## Job path\n\n")
	jobs.WriteTable(out, jobs.Compare())
	if err := out.Flush(); err != nil {
		os.Exit(1)
	}
}
