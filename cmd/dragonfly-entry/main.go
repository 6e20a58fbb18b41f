// Command dragonfly-entry runs an entry host: the front for callers and
// operators, and a candidate for the region's scheduler.
package main

import (
	"context"

	"go.uber.org/zap"

	"dragonflyyard/internal/deployed"
	"dragonflyyard/internal/entry"
	"dragonflyyard/internal/program"
	"dragonflyyard/internal/settings"
)

func main() {
	program.Main(program.Spec[settings.Entry]{
		Name:    "dragonfly-entry",
		Summary: "run an entry host",
		Description: "An entry host takes the requests of callers and operators over HTTP, sends requests to the\n" +
			"agents that are connected to it, and may become the owner of the region's scheduler.",
		Load:     settings.LoadEntry,
		LogLevel: func(s settings.Entry) string { return s.Process.LogLevel },
		Run: func(ctx context.Context, s settings.Entry, logger *zap.Logger) error {
			p, err := entry.New(entry.Config{Settings: s, Logger: logger})
			if err != nil {
				return err
			}
			return p.Run(ctx)
		},
	}, deployed.EntryCommand())
}
