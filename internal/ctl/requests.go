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
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/operatorapi"
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
		{Name: "status", Usage: "look a request up by its ID", ArgsUsage: "ID", Flags: []cli.Flag{
			&cli.StringFlag{Name: "account", Usage: "client account that sent the request", Required: true},
		}, Action: a.requestStatus},
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
	return a.printOutcome(id, k, r, cmd.Bool("idempotent"))
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
func (a *app) printOutcome(id string, k call, r reply, isIdempotent bool) error {
	if r.request != "" && r.request != id {
		return unreadable(k, r.entry, "the answer is that of request %s", r.request)
	}
	if r.outcome == model.OutcomeAnswered.String() {
		_, err := a.env.Out.Write(append(r.body, '\n'))
		return errors.Wrap(err, "print the answer")
	}
	var body callerapi.OutcomeBody
	if json.Unmarshal(r.body, &body) != nil || body.Outcome == "" {
		return refusal(k, r)
	}
	text := "request " + id + ": " + body.Outcome
	if body.Reason != "" {
		text += " (" + string(body.Reason) + ")"
	}
	text += ". " + body.Sentence
	if body.RetryAfterMS > 0 {
		text += " Come back in " + (time.Duration(body.RetryAfterMS) * time.Millisecond).String() + "."
	}
	text += outcomeAdvice(body, isIdempotent)
	switch body.Outcome {
	case model.OutcomeNotRun.String():
		return fail(ExitNotAccepted, "%s", text)
	case model.OutcomeUnknown.String(), callerapi.OutcomeInProgress:
		return fail(ExitInDoubt, "%s", text)
	default:
		return fail(ExitRefused, "%s", text)
	}
}

// outcomeAdvice says what to do about an ID that the system cannot answer for
// any more.
func outcomeAdvice(body callerapi.OutcomeBody, isIdempotent bool) string {
	if body.Reason != model.ReasonOutsideHorizon {
		return ""
	}
	if isIdempotent {
		return " The request is idempotent: it is safe to send it again under a new ID."
	}
	return " It may have run: find out at the backend server before you send it under a new ID."
}

func (a *app) requestStatus(ctx context.Context, cmd *cli.Command) error {
	id, err := oneArgument(cmd, "ID")
	if err != nil {
		return err
	}
	k := call{method: fasthttp.MethodGet, path: callerapi.PathRequests + "/" + url.PathEscape(id), repeat: repeatable, header: map[string]string{
		callerapi.HeaderAccount: cmd.String("account"),
	}}
	r, err := a.client(cmd).do(ctx, k)
	if err != nil {
		return unreachable(k, r, err)
	}
	return a.printOutcome(id, k, r, false)
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
