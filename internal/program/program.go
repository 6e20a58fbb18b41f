// Package program holds what the command lines of the long-running programs
// share: flags, exit codes, the logger and signals.
package program

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"dragonflyyard/internal/logging"
)

// Exit codes of the programs.
const (
	// ExitOK means that the program did what it was asked to, or that it ended
	// after a graceful stop.
	ExitOK = 0
	// ExitFailed means that the program could not start or a duty failed.
	ExitFailed = 1
	// ExitUsage means that the command line or the settings were refused.
	ExitUsage = 2
)

// Version is the version that the programs print. The linker may set it.
var Version = "0.1.0-dev"

// ErrUsage marks an error of the command line or of the settings.
var ErrUsage = errors.New("usage")

// Spec describes a program with settings of type S.
type Spec[S any] struct {
	Name    string
	Summary string
	// Description is the longer text of the help page.
	Description string
	// Load reads and checks the settings file.
	Load func(path string) (S, error)
	// LogLevel returns the level that the settings ask for.
	LogLevel func(settings S) string
	// Logger makes the program's logger; nil for logging.NewLogger.
	Logger func(level string) (*zap.Logger, error)
	// Run runs until ctx is done, then stops gracefully.
	Run func(ctx context.Context, settings S, logger *zap.Logger) error
}

const exitCodes = `
Exit codes: 0 after a graceful stop or a successful check, 1 when the program
could not start or failed, 2 when the command line or the settings were refused.
SIGTERM and SIGINT begin a graceful stop.`

// Main runs a program and ends the process with its exit code.
func Main[S any](spec Spec[S], subcommands ...*cli.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := Execute(ctx, spec, os.Args, os.Stdout, os.Stderr, subcommands...)
	stop()
	os.Exit(code)
}

// Execute runs a program with the given arguments and returns its exit code.
func Execute[S any](ctx context.Context, spec Spec[S], args []string, out, errOut io.Writer, subcommands ...*cli.Command) int {
	command := &cli.Command{
		Name: spec.Name, Usage: spec.Summary, Description: spec.Description + "\n" + exitCodes,
		Version: version(), Writer: out, ErrWriter: errOut,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return errors.Mark(err, ErrUsage)
		},
		Flags:    settingsFlags(),
		Commands: append([]*cli.Command{versionCommand(spec.Name)}, subcommands...),
		Action:   action(spec),
	}
	return exitCode(command.Run(ctx, args), errOut)
}

// SettingsVariable names the settings file where no flag does.
const SettingsVariable = "DRAGONFLYYARD_CONFIG"

func settingsFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "read the settings from `FILE` (YAML)", Sources: cli.EnvVars(SettingsVariable)},
		&cli.BoolFlag{Name: "check-settings", Usage: "check the settings and exit"},
	}
}

func action[S any](spec Spec[S]) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if c.Args().Present() {
			return errors.Wrapf(ErrUsage, "unexpected argument %q", c.Args().First())
		}
		return run(ctx, spec, c)
	}
}

// Subcommand returns a command that runs a second kind of process of a program.
func Subcommand[S any](spec Spec[S]) *cli.Command {
	return &cli.Command{Name: spec.Name, Usage: spec.Summary, Description: spec.Description, Flags: settingsFlags(), Action: action(spec)}
}

func run[S any](ctx context.Context, spec Spec[S], c *cli.Command) error {
	path := c.String("settings")
	if path == "" {
		return errors.Wrap(ErrUsage, "--settings FILE is needed")
	}
	settings, err := spec.Load(path)
	if err != nil {
		return errors.Mark(err, ErrUsage)
	}
	if c.Bool("check-settings") {
		_, err := fmt.Fprintf(c.Root().Writer, "%s: settings are valid\n", path)
		return err
	}
	newLogger := spec.Logger
	if newLogger == nil {
		newLogger = logging.NewLogger
	}
	logger, err := newLogger(spec.LogLevel(settings))
	if err != nil {
		return errors.Mark(err, ErrUsage)
	}
	err = spec.Run(ctx, settings, logger)
	// The log goes to an unbuffered stream, where Sync may not be supported.
	_ = logger.Sync()
	return err
}

func versionCommand(name string) *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintf(c.Root().Writer, "%s %s\n", name, version())
			return err
		},
	}
}

// version returns Version with the source revision, where the build knows it.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Version
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return Version + " " + setting.Value
		}
	}
	return Version
}

func exitCode(err error, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(errOut, "%v\n", err)
	if errors.Is(err, ErrUsage) {
		return ExitUsage
	}
	return ExitFailed
}
