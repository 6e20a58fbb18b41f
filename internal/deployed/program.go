package deployed

import (
	"context"
	"os"

	"github.com/rcrowley/go-metrics"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"dragonflyyard/internal/logging"
	"dragonflyyard/internal/program"
	"dragonflyyard/internal/settings"
)

// commandName is the subcommand under which a program runs on a deployment.
const commandName = "deployed"

// settingsPath returns the settings file for a reload. It is the one that the
// program was started with, where the environment names it.
func settingsPath() string { return os.Getenv(program.SettingsVariable) }

// EntryCommand returns the subcommand that runs a deployed entry host.
func EntryCommand() *cli.Command {
	registry := metrics.NewRegistry()
	return program.Subcommand(program.Spec[settings.DeployedEntry]{
		Name:        commandName,
		Summary:     "run an entry host on a deployment of the platform",
		Description: "It takes the calls of callers, and schedules while it holds the region's lease.",
		Load:        settings.LoadDeployedEntry,
		LogLevel:    func(s settings.DeployedEntry) string { return s.LogLevel },
		Logger:      func(level string) (*zap.Logger, error) { return logging.NewBounded(level, registry) },
		Run: func(ctx context.Context, s settings.DeployedEntry, log *zap.Logger) error {
			return RunEntry(ctx, s, log, registry, func() error {
				_, err := settings.LoadDeployedEntry(settingsPath())
				return err
			})
		},
	})
}

// AgentCommand returns the subcommand that runs a deployed agent.
func AgentCommand() *cli.Command {
	registry := metrics.NewRegistry()
	return program.Subcommand(program.Spec[settings.DeployedAgent]{
		Name:        commandName,
		Summary:     "run an agent on a deployment of the platform",
		Description: "It carries out the scheduler's orders on the worker beside it.",
		Load:        settings.LoadDeployedAgent,
		LogLevel:    func(s settings.DeployedAgent) string { return s.LogLevel },
		Logger:      func(level string) (*zap.Logger, error) { return logging.NewBounded(level, registry) },
		Run: func(ctx context.Context, s settings.DeployedAgent, log *zap.Logger) error {
			return RunAgent(ctx, s, log, registry, func() error {
				_, err := settings.LoadDeployedAgent(settingsPath())
				return err
			})
		},
	})
}
