// Command region runs a whole region on this machine with stand-ins for the
// platform, puts its configuration into force and waits for SIGINT or SIGTERM.
// It is for trying commands out.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"dragonflyyard/internal/tools/localregion"
)

// startLimit bounds the time until the region takes its configuration.
const startLimit = 20 * time.Second

func main() {
	deployment := flag.String("deployment", "samples/nordeste.yaml", "description of the region")
	binaries := flag.String("binaries", "bin", "folder with the built programs")
	flag.Parse()
	if err := run(*deployment, *binaries); err != nil {
		fmt.Fprintln(os.Stderr, "region:", err)
		os.Exit(1)
	}
}

func run(path, binaries string) error {
	r, closeRegion, err := localregion.Open(path, binaries)
	if err != nil {
		return err
	}
	defer closeRegion()
	if err := r.Start(); err != nil {
		return err
	}
	if err := r.Configure(startLimit); err != nil {
		return err
	}
	fmt.Println("settings and logs are in", r.Folder)
	for i := range r.Deployment.Entries {
		fmt.Printf("entry host %d: http://%s\n", i+1, r.Deployment.EntryHTTPAddress(i))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}
