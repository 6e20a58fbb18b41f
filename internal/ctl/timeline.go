package ctl

import (
	"context"
	"fmt"
	"net/url"

	"github.com/urfave/cli/v3"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/operatorapi"
	"dragonflyyard/internal/timeline"
)

func (a *app) timelineCommand() *cli.Command {
	return &cli.Command{Name: "timeline", Usage: "merge the time lines of all processes into one order",
		Description: "The processes are those that the entry hosts know, and those given with --process.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "process", Usage: "HTTP `ADDRESS` of a further process; may be given several times"},
			&cli.StringFlag{Name: "request", Usage: "only events of this request"},
			&cli.StringFlag{Name: "job", Usage: "only events of this job"},
			&cli.StringFlag{Name: "zone", Usage: "only events of this availability zone"},
		}, Action: a.timeline}
}

// timeline asks every process. One that does not answer is named, and the rest
// is printed.
func (a *app) timeline(ctx context.Context, cmd *cli.Command) error {
	query := url.Values{}
	for _, name := range []string{"request", "job", "zone"} {
		if value := cmd.String(name); value != "" {
			query.Set(name, value)
		}
	}
	filter := timeline.Filter{Request: model.RequestID(cmd.String("request")), Job: model.JobID(cmd.String("job")),
		Zone: model.AvailabilityZoneName(cmd.String("zone"))}
	lines := map[string][]event.Event{}
	missing := 0
	for _, address := range a.processAddresses(ctx, cmd) {
		var answer operatorapi.Timeline
		if err := newClient([]string{address}, cmd.Duration(flagTimeout)).get(ctx, operatorapi.PathTimeline, query, &answer); err != nil {
			a.warnf("time line of %s is missing: %v", address, err)
			missing++
			continue
		}
		// A process that is reached through two addresses counts once.
		lines[answer.Process] = answer.Events
	}
	var all [][]event.Event
	for _, process := range sortedKeys(lines) {
		all = append(all, lines[process])
	}
	merged := timeline.Merge(filter, all...)
	var printErr error
	if err := a.print(cmd, merged, func() { printErr = timeline.Print(a.env.Out, merged) }); err != nil {
		return err
	}
	if printErr == nil && missing > 0 {
		return fail(ExitNotAccepted, "the time lines of %d processes are missing", missing)
	}
	return printErr
}

// processAddresses returns the addresses of all processes to ask, each once.
func (a *app) processAddresses(ctx context.Context, cmd *cli.Command) []string {
	var addresses []string
	known := map[string]bool{}
	add := func(address string) {
		if address != "" && !known[address] {
			known[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, address := range cmd.StringSlice(flagEntry) {
		add(address)
	}
	for _, address := range cmd.StringSlice("process") {
		add(address)
	}
	var list operatorapi.ProcessList
	if err := a.client(cmd).get(ctx, operatorapi.PathProcesses, nil, &list); err != nil {
		a.warnf("the list of processes is missing: %v", err)
	}
	for _, process := range list.Processes {
		add(process.HTTPAddress)
	}
	return addresses
}

func (a *app) warnf(format string, args ...any) {
	_, _ = fmt.Fprintf(a.env.Err, "dragonflyctl: "+format+"\n", args...)
}
