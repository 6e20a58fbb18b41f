package ctl

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"dragonflyyard/internal/interference"
)

const flagMetrics = "metrics"

// disturbancesCommand prints which kinds of tasks slow each other down on a deployment.
func (a *app) disturbancesCommand() *cli.Command {
	return &cli.Command{
		Name: "disturbances", Usage: "print which kinds of tasks slow each other down on a deployment, and by how much",
		Description: "A kind is the image of a step or, without one, its queue and what a task requests (thousandths of a core/MB/accelerators).\n" +
			"Why a task was placed apart stands in the log of the scheduler: dragonflyctl logs JOB FILE...",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: flagMetrics, Usage: "metrics `ADDRESS` (IP:port) of a deployed entry host; may be given several times", Required: true},
		},
		Action: a.printDisturbances,
	}
}

func (a *app) printDisturbances(ctx context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd, 0, 0, ""); err != nil {
		return err
	}
	var report interference.Report
	client := newClient(cmd.StringSlice(flagMetrics), cmd.Duration(flagTimeout))
	if err := client.get(ctx, interference.ReportPath, nil, &report); err != nil {
		return err
	}
	return a.print(cmd, report, func() {
		if report.AgeMS < 0 {
			a.printf("nothing is stored yet\n")
			return
		}
		if !report.SeparationOn {
			a.printf("separate_disturbing_tasks is off: pairs are observed, tasks are not kept apart\n")
		}
		for _, p := range report.Pairs {
			state := "not certain"
			if p.Known {
				state = "kept apart"
			}
			a.printf("%s beside %s: %.2f times as long (%.2f to %.2f), %.0f runs, %v old, %s\n", p.Victim, p.Neighbour,
				p.Factor, p.Low, p.High, p.Runs, (time.Duration(p.AgeMS) * time.Millisecond).Round(time.Second), state)
		}
		a.printf("%d pairs; the row is %v old\n", len(report.Pairs), (time.Duration(report.AgeMS) * time.Millisecond).Round(time.Second))
	})
}
