// Command dragonfly-standin serves small stand-ins for the platform, for tests
// and the demo only: table service, object store, backend servers and workers.
package main

import (
	"context"

	"go.uber.org/zap"

	"dragonflyyard/internal/program"
	"dragonflyyard/internal/settings"
	"dragonflyyard/internal/standin"
)

func main() {
	program.Main(program.Spec[settings.StandIn]{
		Name:    "dragonfly-standin",
		Summary: "serve stand-ins for the platform, for tests and the demo",
		Description: "Each service listens on its own address and has fault switches, set by POST /faults:\n" +
			`{"down", "delay_ms", "lose_answers", "freeze", "silent"}, for backend servers and workers also` + "\n" +
			`"fail_all"; the table service and the object store take {"service": "table", "faults": {...}}.`,
		Load:     settings.LoadStandIn,
		LogLevel: func(settings.StandIn) string { return "info" },
		Run: func(ctx context.Context, s settings.StandIn, _ *zap.Logger) error {
			return standin.Run(ctx, s)
		},
	})
}
