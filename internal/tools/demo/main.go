// Command demo runs a whole region on this machine with stand-ins for the
// platform: it serves requests, runs a gang, takes an availability zone out and
// back, kills an agent during the work and stops an entry host gracefully. It
// prints what happened to each request and job and the merged time line, stops
// all that it started, and exits with 1 when an outcome is not as promised.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"dragonflyyard/internal/tools/localregion"
)

// demoLimit bounds the demo as a whole.
const demoLimit = 55 * time.Second

func main() {
	deployment := flag.String("deployment", "samples/nordeste.yaml", "description of the region")
	binaries := flag.String("binaries", "bin", "folder with the built programs")
	flag.Parse()
	if err := run(*deployment, *binaries); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(path, binaries string) error {
	r, closeRegion, err := localregion.Open(path, binaries)
	if err != nil {
		return err
	}
	timer := time.AfterFunc(demoLimit, func() {
		fmt.Fprintln(os.Stderr, "demo: took longer than", demoLimit)
		closeRegion()
		os.Exit(1)
	})
	defer timer.Stop()
	defer closeRegion()
	s := &show{region: r, began: time.Now()}
	return s.run()
}
