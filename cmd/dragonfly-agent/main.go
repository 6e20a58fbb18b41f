// Command dragonfly-agent runs the small process beside a backend server.
package main

import (
	"context"

	"go.uber.org/zap"

	"dragonflyyard/internal/agent"
	"dragonflyyard/internal/deployed"
	"dragonflyyard/internal/program"
	"dragonflyyard/internal/settings"
)

func main() {
	program.Main(program.Spec[settings.Agent]{
		Name:    "dragonfly-agent",
		Summary: "run the agent of a backend server",
		Description: "An agent announces its backend server to the entry hosts, hands requests to it within its\n" +
			"slots and connections, and drives the worker of the same host.",
		Load:     settings.LoadAgent,
		LogLevel: func(s settings.Agent) string { return s.Process.LogLevel },
		Run: func(ctx context.Context, s settings.Agent, logger *zap.Logger) error {
			p, err := agent.New(agent.Config{Settings: s, Logger: logger})
			if err != nil {
				return err
			}
			return p.Run(ctx)
		},
	}, deployed.AgentCommand())
}
