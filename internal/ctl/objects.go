package ctl

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/urfave/cli/v3"

	"dragonflyyard/internal/configfile"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/operatorapi"
)

func sortedKeys[K ~string, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func (a *app) accountCommand() *cli.Command {
	return &cli.Command{Name: "account", Usage: "client accounts", Commands: []*cli.Command{
		{Name: "set", Usage: "create or change a client account", ArgsUsage: "ID", Flags: []cli.Flag{
			&cli.IntFlag{Name: "weight", Usage: "share of borrowed capacity relative to other accounts", Value: 1},
			&cli.IntFlag{Name: "max-queued", Usage: "waiting requests on each entry host; 0 for the entry host's limit"},
			expectedVersionFlag(),
		}, Action: a.setAccount},
		{Name: "delete", Usage: "delete a client account", ArgsUsage: "ID", Flags: []cli.Flag{expectedVersionFlag()},
			Action: a.deleteObject("account/", "ID")},
		{Name: "list", Usage: "list the client accounts", Action: a.listAccounts},
	}}
}

func (a *app) setAccount(ctx context.Context, cmd *cli.Command) error {
	id, err := oneArgument(cmd, "ID")
	if err != nil {
		return err
	}
	return a.submitChange(ctx, cmd, model.ConfigChange{Object: "account/" + id, Account: &model.ClientAccount{
		ID: model.ClientAccountID(id), Weight: cmd.Int("weight"), MaxQueued: cmd.Int("max-queued")}})
}

func (a *app) deleteObject(prefix, form string) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		name, err := oneArgument(cmd, form)
		if err != nil {
			return err
		}
		return a.submitChange(ctx, cmd, model.ConfigChange{Object: prefix + name, Delete: true})
	}
}

func (a *app) listAccounts(ctx context.Context, cmd *cli.Command) error {
	d, err := a.client(cmd).readConfig(ctx)
	if err != nil {
		return err
	}
	return a.print(cmd, d.Accounts, func() {
		for _, id := range sortedKeys(d.Accounts) {
			account := d.Accounts[id]
			a.printf("%s weight %d max_queued %d (version %d)\n", id, account.Weight, account.MaxQueued,
				d.ObjectVersions["account/"+string(id)])
		}
	})
}

func shapeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.IntFlag{Name: "tasks", Usage: "tasks that run together", Value: 1},
		&cli.IntFlag{Name: "accelerators", Usage: "accelerators of each task", Value: 1},
		&cli.IntFlag{Name: "cores", Usage: "processor cores of each task", Value: 8},
		&cli.IntFlag{Name: "memory-mb", Usage: "memory of each task in MB", Value: 16384},
		&cli.StringFlag{Name: "topology", Usage: "where the tasks may lie: any, zone or rack", Value: string(model.TopologyAny)},
	}
}

func shapeOf(cmd *cli.Command) model.Shape {
	return model.Shape{
		Tasks:    cmd.Int("tasks"),
		PerTask:  model.Resources{Accelerators: cmd.Int("accelerators"), Cores: cmd.Int("cores"), MemoryMB: cmd.Int("memory-mb")},
		Topology: model.Topology(cmd.String("topology")),
	}
}

func (a *app) guaranteeCommand() *cli.Command {
	setFlags := append([]cli.Flag{
		&cli.StringFlag{Name: "account", Usage: "client account that may claim the shape", Required: true},
		&cli.IntFlag{Name: "count", Usage: "how many of the shape are guaranteed at the same time", Value: 1},
		expectedVersionFlag(),
	}, shapeFlags()...)
	return &cli.Command{Name: "guarantee", Usage: "guaranteed shapes", Commands: []*cli.Command{
		{Name: "set", Usage: "create or change a guaranteed shape", ArgsUsage: "NAME", Flags: setFlags, Action: a.setGuarantee},
		{Name: "delete", Usage: "delete a guaranteed shape", ArgsUsage: "NAME", Flags: []cli.Flag{expectedVersionFlag()},
			Action: a.deleteObject("guarantee/", "NAME")},
		{Name: "list", Usage: "list the guaranteed shapes", Action: a.listGuarantees},
		{Name: "check", Usage: "say which guarantees have room, now and after the loss of each zone", Action: a.checkGuarantees},
	}}
}

func (a *app) setGuarantee(ctx context.Context, cmd *cli.Command) error {
	name, err := oneArgument(cmd, "NAME")
	if err != nil {
		return err
	}
	return a.submitChange(ctx, cmd, model.ConfigChange{Object: "guarantee/" + name, Guarantee: &model.GuaranteedShape{
		Name: name, Account: model.ClientAccountID(cmd.String("account")), Count: cmd.Int("count"), Shape: shapeOf(cmd)}})
}

func (a *app) listGuarantees(ctx context.Context, cmd *cli.Command) error {
	d, err := a.client(cmd).readConfig(ctx)
	if err != nil {
		return err
	}
	return a.print(cmd, d.Guarantees, func() {
		for _, name := range sortedKeys(d.Guarantees) {
			g := d.Guarantees[name]
			a.printf("%s account %s %d x %s (version %d)\n", name, g.Account, g.Count,
				configfile.DescribeShape(g.Shape), d.ObjectVersions["guarantee/"+name])
		}
	})
}

// checkGuarantees fails when a guarantee has no room now; the loss of a zone
// is only reported.
func (a *app) checkGuarantees(ctx context.Context, cmd *cli.Command) error {
	var check operatorapi.GuaranteeCheck
	if err := a.client(cmd).get(ctx, operatorapi.PathGuaranteesCheck, nil, &check); err != nil {
		return err
	}
	if err := a.print(cmd, check, func() { a.printCheck(check) }); err != nil {
		return err
	}
	uncovered := 0
	for _, g := range check.Guarantees {
		if g.Covered < g.Count {
			uncovered++
		}
	}
	if uncovered > 0 {
		return fail(ExitCheckFailed, "%d guarantees have no room", uncovered)
	}
	return nil
}

func (a *app) printCheck(check operatorapi.GuaranteeCheck) {
	for _, g := range check.Guarantees {
		a.printf("%s\n", describeState(g))
	}
	for _, loss := range check.ZoneLosses {
		if len(loss.Uncovered) == 0 {
			a.printf("without zone %s: all have room\n", loss.Zone)
		}
		for _, g := range loss.Uncovered {
			a.printf("without zone %s: %s\n", loss.Zone, describeState(g))
		}
	}
}

func describeState(g operatorapi.GuaranteeState) string {
	text := fmt.Sprintf("%s account %s: %d of %d have room", g.Name, g.Account, g.Covered, g.Count)
	if g.Reason != "" {
		text += ": " + g.Reason
	}
	return text
}

func (a *app) zoneCommand() *cli.Command {
	return &cli.Command{Name: "zone", Usage: "availability zones", Commands: []*cli.Command{
		{Name: "out", Usage: "take a zone out: no task starts there any more", ArgsUsage: "NAME",
			Flags: []cli.Flag{expectedVersionFlag()}, Action: a.setZone(model.ZoneOut)},
		{Name: "in", Usage: "bring a zone back", ArgsUsage: "NAME",
			Flags: []cli.Flag{expectedVersionFlag()}, Action: a.setZone(model.ZoneIn)},
		{Name: "list", Usage: "list the zones", Action: a.listZones},
	}}
}

func (a *app) setZone(state model.ZoneState) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		name, err := oneArgument(cmd, "NAME")
		if err != nil {
			return err
		}
		return a.submitChange(ctx, cmd, model.ConfigChange{Object: "zone/" + name, Zone: state})
	}
}

func (a *app) listZones(ctx context.Context, cmd *cli.Command) error {
	d, err := a.client(cmd).readConfig(ctx)
	if err != nil {
		return err
	}
	return a.print(cmd, d.Zones, func() {
		for _, zone := range sortedKeys(d.Zones) {
			a.printf("%s %s (version %d)\n", zone, d.Zones[zone], d.ObjectVersions["zone/"+string(zone)])
		}
	})
}
