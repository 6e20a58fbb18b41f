// Command dragonflyctl is the operators' command line of dragonflyyard.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"dragonflyyard/internal/ctl"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, ctl.SystemEnvironment(os.Stdin, os.Stdout, os.Stderr), os.Args)
	cancel()
	os.Exit(code)
}
