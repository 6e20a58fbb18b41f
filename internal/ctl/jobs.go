package ctl

import (
	"bufio"
	"context"
	"encoding/json"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/operatorapi"
	"dragonflyyard/internal/strictyaml"
)

func (a *app) jobCommand() *cli.Command {
	submitFlags := append([]cli.Flag{
		&cli.StringFlag{Name: "file", Usage: "read the job from a YAML `FILE` with the fields of docs/API.md"},
		&cli.StringFlag{Name: "id", Usage: "`ID` of the job; sending the same job again has no further effect (default: a new one)"},
		&cli.StringFlag{Name: "account", Usage: "client account that the job runs for"},
		&cli.StringFlag{Name: "class", Usage: "jobs of a class have similar run times"},
		&cli.DurationFlag{Name: "run-time", Usage: "declared run time", Value: time.Minute},
		&cli.DurationFlag{Name: "needed-within", Usage: "time from now to the deadline; 0s for none"},
		&cli.BoolFlag{Name: "guaranteed", Usage: "run on the account's guaranteed capacity"},
		&cli.BoolFlag{Name: "urgent", Usage: "start ahead of the account's other jobs"},
		&cli.BoolFlag{Name: "checkpoint", Usage: "tasks can be stopped without losing their work"},
	}, shapeFlags()...)
	return &cli.Command{Name: "job", Usage: "jobs", Commands: []*cli.Command{
		{Name: "submit", Usage: "submit a job", Flags: submitFlags, Action: a.submitJob},
		{Name: "list", Usage: "list jobs", Flags: []cli.Flag{
			&cli.StringFlag{Name: "account", Usage: "only jobs of this client account"},
			&cli.StringFlag{Name: "state", Usage: "only jobs in this state"},
		}, Action: a.listJobs},
		{Name: "cancel", Usage: "cancel jobs; \"-\" reads IDs from standard input", ArgsUsage: "ID...", Action: a.cancelJobs},
		{Name: "explain", Usage: "say what was decided about a job and why", ArgsUsage: "ID", Action: a.explainJob},
	}}
}

func (a *app) submitJob(ctx context.Context, cmd *cli.Command) error {
	request, err := a.jobRequest(cmd)
	if err != nil {
		return err
	}
	if refused := operatorapi.CheckJob(request, a.env.Now()); refused != nil {
		return fail(ExitUsage, "%s", refused.Sentence)
	}
	var answer operatorapi.JobReply
	if err := a.client(cmd).post(ctx, operatorapi.PathJobs, request, &answer); err != nil {
		return err
	}
	if answer.Job.ID != request.ID {
		return fail(ExitInDoubt, "the job may have been taken: the answer is that of job %q", answer.Job.ID)
	}
	return a.print(cmd, answer, func() { a.printJob(answer.Job) })
}

func (a *app) jobRequest(cmd *cli.Command) (operatorapi.JobRequest, error) {
	var r operatorapi.JobRequest
	if path := cmd.String("file"); path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return r, err
		}
		if _, err := strictyaml.Decode(path, data, &r); err != nil {
			return r, err
		}
	} else {
		r = jobFromFlags(cmd, a.env.Now())
	}
	if id := cmd.String("id"); id != "" {
		r.ID = model.JobID(id)
	}
	if r.ID == "" {
		r.ID = model.JobID(a.env.NewID())
	}
	return r, nil
}

func jobFromFlags(cmd *cli.Command, now time.Time) operatorapi.JobRequest {
	r := operatorapi.JobRequest{
		Account:           model.ClientAccountID(cmd.String("account")),
		JobClass:          cmd.String("class"),
		Shape:             shapeOf(cmd),
		DeclaredRunTimeMS: cmd.Duration("run-time").Milliseconds(),
		Capacity:          model.CapacityBorrowed,
		Urgent:            cmd.Bool("urgent"),
		CanCheckpoint:     cmd.Bool("checkpoint"),
	}
	if cmd.Bool("guaranteed") {
		r.Capacity = model.CapacityGuaranteed
	}
	if within := cmd.Duration("needed-within"); within > 0 {
		r.Deadline = now.Add(within).UTC()
	}
	return r
}

func (a *app) printJob(j operatorapi.JobStatus) {
	a.printf("%s account %s %s tasks %d attempt %d", j.ID, j.Account, j.State, j.Tasks, j.Attempt)
	if j.Waiting != "" {
		a.printf(" waits: %s", j.Waiting)
	}
	if j.Ended != "" {
		a.printf(" ended: %s", j.Ended)
	}
	a.printf("\n")
}

func (a *app) listJobs(ctx context.Context, cmd *cli.Command) error {
	query := url.Values{}
	for _, name := range []string{"account", "state"} {
		if value := cmd.String(name); value != "" {
			query.Set(name, value)
		}
	}
	c := a.client(cmd)
	var all operatorapi.JobList
	for {
		var page operatorapi.JobList
		if err := c.get(ctx, operatorapi.PathJobs, query, &page); err != nil {
			return err
		}
		all.Jobs = append(all.Jobs, page.Jobs...)
		if page.Next == "" {
			break
		}
		query.Set("after", string(page.Next))
	}
	return a.print(cmd, all, func() {
		for _, job := range all.Jobs {
			a.printJob(job)
		}
	})
}

func (a *app) cancelJobs(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 1, operatorapi.MaxCancelIDs, "ID...")
	if err != nil {
		return err
	}
	request := operatorapi.CancelRequest{}
	for _, arg := range args {
		if arg == "-" {
			request.IDs = append(request.IDs, a.readIDs()...)
			continue
		}
		request.IDs = append(request.IDs, model.JobID(arg))
	}
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	if _, refused := operatorapi.DecodeCancel(body); refused != nil {
		return fail(ExitUsage, "%s", refused.Sentence)
	}
	var answer operatorapi.CancelReply
	if err := a.client(cmd).post(ctx, operatorapi.PathJobsCancel, request, &answer); err != nil {
		return err
	}
	for _, id := range request.IDs {
		if answer.Results[id] == "" {
			return fail(ExitInDoubt, "the jobs may have been cancelled: the answer has no result for job %q", id)
		}
	}
	return a.print(cmd, answer, func() {
		for _, id := range sortedKeys(answer.Results) {
			a.printf("%s %s\n", id, answer.Results[id])
		}
	})
}

// readIDs reads one ID a line.
func (a *app) readIDs() []model.JobID {
	var ids []model.JobID
	lines := bufio.NewScanner(a.env.In)
	for lines.Scan() {
		if id := strings.TrimSpace(lines.Text()); id != "" {
			ids = append(ids, model.JobID(id))
		}
	}
	return ids
}

func (a *app) explainJob(ctx context.Context, cmd *cli.Command) error {
	id, err := oneArgument(cmd, "ID")
	if err != nil {
		return err
	}
	var answer operatorapi.Explanation
	path := operatorapi.PathJobs + "/" + url.PathEscape(id) + operatorapi.ExplainSuffix
	if err := a.client(cmd).get(ctx, path, nil, &answer); err != nil {
		return err
	}
	if string(answer.Job.ID) != id {
		return fail(ExitNotAccepted, "the answer is that of job %q", answer.Job.ID)
	}
	return a.print(cmd, answer, func() {
		a.printJob(answer.Job)
		for i, line := range answer.Lines {
			a.printf("%s. %s\n", strconv.Itoa(i+1), line)
		}
	})
}
