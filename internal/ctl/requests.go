package ctl

import (
	"context"
	"encoding/json"
	"io"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/callerapi"
	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/operatorapi"
	"dragonflyyard/internal/timeline"
)

const headerOutcome = callerapi.HeaderOutcome

func (a *app) requestCommand() *cli.Command {
	return &cli.Command{Name: "request", Usage: "callers' requests", Commands: []*cli.Command{
		{Name: "send", Usage: "send a request and print its answer", Flags: []cli.Flag{
			&cli.StringFlag{Name: "id", Usage: "request `ID`, a UUIDv7; the same ID finds the first run (default: a new one)"},
			&cli.StringFlag{Name: "account", Usage: "client account", Required: true},
			&cli.BoolFlag{Name: "idempotent", Usage: "running the request twice does no harm"},
			&cli.DurationFlag{Name: "deadline", Usage: "longest wait for the answer", Value: 10 * time.Second},
			&cli.IntFlag{Name: "slots", Usage: "slots of a backend server that the request occupies", Value: 1},
			&cli.StringFlag{Name: "body", Usage: "the request's body"},
			&cli.StringFlag{Name: "body-file", Usage: "read the body from `FILE`; - for standard input"},
		}, Action: a.sendRequest},
		{Name: "status", Usage: "look a request up by its ID", ArgsUsage: "ID", Action: a.requestStatus},
	}}
}

// sendRequest sends a request. Trying the next entry host is safe, since the
// same ID finds the first run through any of them.
func (a *app) sendRequest(ctx context.Context, cmd *cli.Command) error {
	body, err := a.requestBody(cmd)
	if err != nil {
		return err
	}
	id := cmd.String("id")
	if id == "" {
		id = a.env.NewID()
	}
	deadline := cmd.Duration("deadline")
	c := a.client(cmd)
	c.timeout += deadline
	k := call{method: fasthttp.MethodPost, path: callerapi.PathRequests, body: body, repeat: repeatable, header: map[string]string{
		callerapi.HeaderRequestID:  id,
		callerapi.HeaderAccount:    cmd.String("account"),
		callerapi.HeaderIdempotent: strconv.FormatBool(cmd.Bool("idempotent")),
		callerapi.HeaderDeadlineMS: strconv.FormatInt(deadline.Milliseconds(), 10),
		callerapi.HeaderSlots:      strconv.Itoa(cmd.Int("slots")),
	}}
	r, err := c.do(ctx, k)
	if err != nil {
		if r.ambiguous {
			return fail(ExitInDoubt, "request %s: unknown, it may have run; look it up before sending it under another ID: %v", id, err)
		}
		return fail(ExitNotAccepted, "request %s: not run: %v", id, err)
	}
	return a.printOutcome(id, r)
}

func (a *app) requestBody(cmd *cli.Command) ([]byte, error) {
	path := cmd.String("body-file")
	switch {
	case path != "" && cmd.IsSet("body"):
		return nil, fail(ExitUsage, "--body and --body-file exclude each other")
	case path == "-":
		return io.ReadAll(a.env.In)
	case path != "":
		return os.ReadFile(path)
	default:
		return []byte(cmd.String("body")), nil
	}
}

// printOutcome prints the answer, or says which other outcome the request had.
func (a *app) printOutcome(id string, r reply) error {
	if r.outcome == model.OutcomeAnswered.String() {
		_, err := a.env.Out.Write(append(r.body, '\n'))
		return errors.Wrap(err, "print the answer")
	}
	var body callerapi.OutcomeBody
	if json.Unmarshal(r.body, &body) != nil || body.Outcome == "" {
		return refusal(call{method: fasthttp.MethodPost}, r)
	}
	text := "request " + id + ": " + body.Outcome
	if body.Reason != "" {
		text += " (" + string(body.Reason) + ")"
	}
	text += ". " + body.Sentence
	if body.RetryAfterMS > 0 {
		text += " Come back in " + (time.Duration(body.RetryAfterMS) * time.Millisecond).String() + "."
	}
	switch body.Outcome {
	case model.OutcomeNotRun.String():
		return fail(ExitNotAccepted, "%s", text)
	case model.OutcomeUnknown.String(), callerapi.OutcomeInProgress:
		return fail(ExitInDoubt, "%s", text)
	default:
		return fail(ExitRefused, "%s", text)
	}
}

func (a *app) requestStatus(ctx context.Context, cmd *cli.Command) error {
	id, err := oneArgument(cmd, "ID")
	if err != nil {
		return err
	}
	k := call{method: fasthttp.MethodGet, path: callerapi.PathRequests + "/" + url.PathEscape(id), repeat: repeatable}
	r, err := a.client(cmd).do(ctx, k)
	if err != nil {
		return unreachable(k, r, err)
	}
	return a.printOutcome(id, r)
}

func (a *app) timelineCommand() *cli.Command {
	return &cli.Command{Name: "timeline", Usage: "merge the time lines of processes into one order", Flags: []cli.Flag{
		&cli.StringSliceFlag{Name: "process", Usage: "HTTP `ADDRESS` of another process, such as an agent; may be given several times"},
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
	var lines [][]event.Event
	var missing int
	for _, address := range append(cmd.StringSlice(flagEntry), cmd.StringSlice("process")...) {
		var answer operatorapi.Timeline
		if err := newClient([]string{address}, cmd.Duration(flagTimeout)).get(ctx, operatorapi.PathTimeline, query, &answer); err != nil {
			_, _ = io.WriteString(a.env.Err, "dragonflyctl: time line of "+address+" is missing: "+err.Error()+"\n")
			missing++
			continue
		}
		lines = append(lines, answer.Events)
	}
	merged := timeline.Merge(filter, lines...)
	var printErr error
	if err := a.print(cmd, merged, func() { printErr = timeline.Print(a.env.Out, merged) }); err != nil {
		return err
	}
	if printErr == nil && missing > 0 {
		return fail(ExitNotAccepted, "the time lines of %d processes are missing", missing)
	}
	return printErr
}

func (a *app) stopCommand() *cli.Command {
	return &cli.Command{Name: "stop", Usage: "stop one process gracefully: it finishes what it has and cuts off no request",
		ArgsUsage: "ADDRESS", Action: a.stop}
}

// stop is sent to exactly the process that was named.
func (a *app) stop(ctx context.Context, cmd *cli.Command) error {
	address, err := oneArgument(cmd, "ADDRESS")
	if err != nil {
		return err
	}
	k := call{method: fasthttp.MethodPost, path: operatorapi.PathStop, repeat: once}
	var answer map[string]string
	if err := newClient([]string{address}, cmd.Duration(flagTimeout)).exchange(ctx, k, &answer); err != nil {
		return err
	}
	a.printf("%s %s\n", answer["process"], answer["status"])
	return nil
}
