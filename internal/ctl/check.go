package ctl

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"dragonflyyard/internal/queueconfig"
	"dragonflyyard/platform"
)

const (
	flagInForce  = "in-force"
	flagCapacity = "accelerators"
)

// configCheck is the answer of config check.
type configCheck struct {
	Version  uint64               `json:"version"`
	Findings []checkFinding       `json:"findings"`
	Changes  []queueconfig.Change `json:"changes"`
}

type checkFinding struct {
	Place   string `json:"place"`
	Wrong   bool   `json:"wrong"`
	Message string `json:"message"`
}

// checkConfigCommand checks a deployment's configuration before it is sent.
func (a *app) checkConfigCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a deployment's configuration (JSON) before it is sent", ArgsUsage: "FILE",
		Description: "Prints errors and entries that can never match (wrong), limits that contradict each other, and with --in-force what changes.\n" +
			"Exit code 0: nothing is wrong; 2: a file can't be read; 6: something is wrong. No process is asked.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagInForce, Usage: "`FILE` with the configuration in force, to print the differences"},
			&cli.IntFlag{Name: flagCapacity, Usage: "accelerators of all workers, to check the guarantees"},
		},
		Action: a.checkConfig,
	}
}

func readConfigFile(path string) (*queueconfig.Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fail(ExitUsage, "%v", err)
	}
	config, err := platform.ParseConfigFile(data)
	if err != nil {
		return nil, fail(ExitUsage, "%s: %v", path, err)
	}
	return config, nil
}

func (a *app) checkConfig(_ context.Context, cmd *cli.Command) error {
	path, err := oneArgument(cmd, "FILE")
	if err != nil {
		return err
	}
	config, err := readConfigFile(path)
	if err != nil {
		return err
	}
	out := configCheck{Version: config.Version, Findings: []checkFinding{}, Changes: []queueconfig.Change{}}
	wrong := 0
	for _, f := range queueconfig.Check(config, queueconfig.Capacity{Accelerators: cmd.Int(flagCapacity)}) {
		out.Findings = append(out.Findings, checkFinding{platform.PlaceOf(f), f.Wrong, f.Message})
		if f.Wrong {
			wrong++
		}
	}
	if inForcePath := cmd.String(flagInForce); inForcePath != "" {
		inForce, err := readConfigFile(inForcePath)
		if err != nil {
			return err
		}
		if inForce.Version >= config.Version {
			wrong++
			out.Findings = append(out.Findings, checkFinding{"version", true, "is not above the version in force"})
		}
		out.Changes = append(out.Changes, queueconfig.Diff(inForce, config)...)
	}
	if err := a.print(cmd, out, func() { a.printConfigCheck(path, out) }); err != nil {
		return err
	}
	if wrong > 0 {
		return fail(ExitCheckFailed, "%d findings are wrong", wrong)
	}
	return nil
}

func (a *app) printConfigCheck(path string, check configCheck) {
	for _, f := range check.Findings {
		kind := "note"
		if f.Wrong {
			kind = "wrong"
		}
		a.printf("%s: %s: %s: %s\n", path, f.Place, kind, f.Message)
	}
	for _, c := range check.Changes {
		switch {
		case c.Before == "":
			a.printf("add %s %s: %s\n", c.Object, c.Name, c.After)
		case c.After == "":
			a.printf("remove %s %s: %s\n", c.Object, c.Name, c.Before)
		default:
			a.printf("change %s %s: %s -> %s\n", c.Object, c.Name, c.Before, c.After)
		}
	}
	a.printf("version %d: %d findings, %d changes\n", check.Version, len(check.Findings), len(check.Changes))
}
