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
	"path/filepath"
	"syscall"
	"time"

	"dragonflyyard/internal/settings"
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
	d, err := settings.LoadDeployment(path)
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "dragonflyyard-region-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	r, err := localregion.New(d, binaries, folder)
	if err != nil {
		return err
	}
	defer r.StopAll()
	if err := r.Start(); err != nil {
		return err
	}
	config := filepath.Join(folder, "config.yaml")
	answers := filepath.Join(filepath.Dir(path), d.Answers)
	if _, err := r.Ctl("questionnaire", "--answers", answers, "--output", config); err != nil {
		return err
	}
	err = localregion.Await("the region takes a configuration", startLimit, func() bool {
		_, err := r.Ctl("config", "set", config)
		return err == nil
	})
	if err != nil {
		return err
	}
	fmt.Println("settings and logs are in", folder)
	for i := range r.Deployment.Entries {
		fmt.Printf("entry host %d: http://%s\n", i+1, r.Deployment.EntryHTTPAddress(i))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}
