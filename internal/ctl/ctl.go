package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/user"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"dragonflyyard/internal/program"
)

// Environment is what a run of the program takes from its surroundings.
type Environment struct {
	In       io.Reader
	Out, Err io.Writer
	Now      func() time.Time
	// Sleep waits between attempts; it returns early when the context ends.
	Sleep func(ctx context.Context, d time.Duration)
	// NewID returns a fresh UUIDv7 in its canonical form.
	NewID func() string
}

// SystemEnvironment returns the environment of a real run.
func SystemEnvironment(in io.Reader, out, errOut io.Writer) Environment {
	return Environment{
		In: in, Out: out, Err: errOut, Now: time.Now,
		Sleep: func(ctx context.Context, d time.Duration) {
			select {
			case <-ctx.Done():
			case <-time.After(d):
			}
		},
		NewID: func() string { return uuid.Must(uuid.NewV7()).String() },
	}
}

// Run runs the command line and returns the exit code.
func Run(ctx context.Context, env Environment, args []string) int {
	err := newRoot(env).Run(ctx, args)
	if err != nil {
		_, _ = fmt.Fprintln(env.Err, "dragonflyctl:", err)
	}
	return exitCode(err)
}

const (
	flagEntry    = "entry"
	flagTimeout  = "timeout"
	flagWait     = "wait"
	flagJSON     = "json"
	flagOperator = "operator"
)

func newRoot(env Environment) *cli.Command {
	a := &app{env: env}
	return &cli.Command{
		Name:    "dragonflyctl",
		Usage:   "operate a dragonflyyard region: accounts, guarantees, zones, configuration, jobs, requests",
		Version: program.Version,
		Description: "Commands call the entry hosts given with --entry in turn; the next one is tried only where that is safe.\n" +
			"Exit codes: 0 done; 1 refused, nothing changed; 2 wrong usage or file; 3 another operator's change came first;\n" +
			"4 not accepted for now, nothing changed; 5 in doubt, it may have taken effect; 6 a check did not hold.",
		Writer:         env.Out,
		ErrWriter:      env.Err,
		Reader:         env.In,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: flagEntry, Usage: "HTTP `ADDRESS` (IP:port) of an entry host; may be given several times",
				Sources: cli.EnvVars("DRAGONFLY_ENTRIES"), Value: []string{"127.0.0.1:21002"}},
			&cli.DurationFlag{Name: flagTimeout, Usage: "longest wait for one entry host's answer", Value: 5 * time.Second},
			&cli.DurationFlag{Name: flagWait, Usage: "longest pursuit of a change that is in doubt", Value: 10 * time.Second},
			&cli.BoolFlag{Name: flagJSON, Usage: "print answers as JSON"},
			&cli.StringFlag{Name: flagOperator, Usage: "`NAME` that is kept with each change", Value: systemUser()},
		},
		Commands: []*cli.Command{
			a.accountCommand(), a.guaranteeCommand(), a.zoneCommand(), a.configCommand(), a.jobCommand(),
			a.requestCommand(), a.timelineCommand(), a.logsCommand(), a.disturbancesCommand(), a.stopCommand(), a.questionnaireCommand(), a.versionCommand(),
		},
	}
}

func systemUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// app holds what the commands share.
type app struct {
	env Environment
}

func (a *app) client(cmd *cli.Command) *client {
	return newClient(cmd.StringSlice(flagEntry), cmd.Duration(flagTimeout))
}

func (a *app) versionCommand() *cli.Command {
	return &cli.Command{Name: "version", Usage: "print the version", Action: func(context.Context, *cli.Command) error {
		a.printf("dragonflyctl %s\n", program.Version)
		return nil
	}}
}

func (a *app) printf(format string, args ...any) { _, _ = fmt.Fprintf(a.env.Out, format, args...) }

// print writes a value as JSON where --json is set, else by the given function.
func (a *app) print(cmd *cli.Command, value any, text func()) error {
	if !cmd.Bool(flagJSON) {
		text()
		return nil
	}
	encoder := json.NewEncoder(a.env.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// arguments returns the command's arguments, of which there must be a number in a range.
func arguments(cmd *cli.Command, low, high int, form string) ([]string, error) {
	args := cmd.Args().Slice()
	if len(args) < low || len(args) > high {
		return nil, fail(ExitUsage, "usage: %s %s", cmd.FullName(), form)
	}
	return args, nil
}

// oneArgument returns the command's only argument.
func oneArgument(cmd *cli.Command, form string) (string, error) {
	args, err := arguments(cmd, 1, 1, form)
	if err != nil {
		return "", err
	}
	return args[0], nil
}
