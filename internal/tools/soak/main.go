// Command soak runs seeded soaks of the deployed programs and prints what was
// broken. It ends with 1 when anything was.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"dragonflyyard/internal/soak"
)

func main() {
	command := &cli.Command{
		Name: "soak", Usage: "run the deployed programs under faults",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "how many seeds to run"},
			&cli.DurationFlag{Name: "for", Value: 15 * time.Second, Usage: "how long faults are injected"},
			&cli.IntFlag{Name: "entries", Value: 3, Usage: "entry hosts"},
			&cli.IntFlag{Name: "agents", Value: 5, Usage: "agents"},
			&cli.StringFlag{Name: "binaries", Value: "bin", Usage: "folder of the programs"},
			&cli.BoolFlag{Name: "planned", Usage: "planned work only, during which no call may be cut off"},
			&cli.BoolFlag{Name: "late-writes", Usage: "the store carries some writes out late"},
			&cli.BoolFlag{Name: "verbose", Usage: "print each fault"},
		},
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(_ context.Context, c *cli.Command) error {
	failed := 0
	for seed := c.Uint64("seed"); seed < c.Uint64("seed")+uint64(c.Int("seeds")); seed++ {
		config := soak.Config{
			Seed: seed, Disturbed: c.Duration("for"), Entries: c.Int("entries"), Agents: c.Int("agents"), Binaries: c.String("binaries"),
			Planned: c.Bool("planned"), LateWrites: c.Bool("late-writes"),
		}
		if c.Bool("verbose") {
			config.Tell = func(fault string) { fmt.Printf("%s %s\n", time.Now().Format("15:04:05.000"), fault) }
		}
		report, err := soak.Run(config)
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d jobs accepted, %d starts, %d faults, %d broken; logs in %s\n",
			seed, report.Accepted, report.Starts, report.Faults, len(report.Broken), report.Logs)
		for _, broken := range report.Broken {
			fmt.Println("  " + broken)
		}
		if len(report.Broken) > 0 {
			failed++
			continue
		}
		if err := os.RemoveAll(report.Logs); err != nil {
			return errors.Wrap(err, "remove logs")
		}
	}
	if failed > 0 {
		return errors.Newf("%d seeds broke a promise", failed)
	}
	return nil
}
