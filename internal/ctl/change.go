package ctl

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/configfile"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/operatorapi"
)

// pursueEvery is the pause between two attempts to resolve a change in doubt.
const pursueEvery = 500 * time.Millisecond

const flagExpected = "expected-version"

func expectedVersionFlag() cli.Flag {
	return &cli.Uint64Flag{Name: flagExpected,
		Usage: "version of the change that last wrote the object, as you saw it (default: read now; 0 for a new object)"}
}

// readConfig reads the configuration in force.
func (c *client) readConfig(ctx context.Context) (*model.ConfigDocument, error) {
	var d model.ConfigDocument
	err := c.get(ctx, operatorapi.PathConfig, nil, &d)
	return &d, err
}

// submitChange completes and sends one change, and says what became of it.
func (a *app) submitChange(ctx context.Context, cmd *cli.Command, change model.ConfigChange) error {
	c := a.client(cmd)
	if cmd.IsSet(flagExpected) {
		change.ExpectedVersion = model.ConfigVersion(cmd.Uint64(flagExpected))
	} else {
		config, err := c.readConfig(ctx)
		if err != nil {
			return err
		}
		change.ExpectedVersion = config.ObjectVersions[change.Object]
	}
	return a.sendChange(ctx, cmd, c, change)
}

// sendChange sends a change until it is resolved or the time for it is over.
// Sending it again is safe, since it keeps its ID.
func (a *app) sendChange(ctx context.Context, cmd *cli.Command, c *client, change model.ConfigChange) error {
	change.ID = model.ChangeID(a.env.NewID())
	change.Operator = cmd.String(flagOperator)
	change.Time = a.env.Now().UTC()
	body, err := json.Marshal(change)
	if err != nil {
		return errors.Wrap(err, "encode the change")
	}
	if _, refused := operatorapi.DecodeChange(body); refused != nil {
		return fail(ExitUsage, "%s", refused.Sentence)
	}
	k := call{method: fasthttp.MethodPost, path: operatorapi.PathChanges, body: body, repeat: repeatable}
	end := a.env.Now().Add(cmd.Duration(flagWait))
	inDoubt := false
	for {
		r, err := c.do(ctx, k)
		inDoubt = inDoubt || r.ambiguous
		if err == nil {
			resolved, outcome := a.resolve(cmd, change, r, &inDoubt)
			if resolved {
				return outcome
			}
		} else if !inDoubt {
			return unreachable(k, r, err)
		}
		if ctx.Err() != nil || !a.env.Now().Add(pursueEvery).Before(end) {
			return fail(ExitInDoubt, "change %s of %s is in doubt: it may or may not take effect; see config history", change.ID, change.Object)
		}
		a.env.Sleep(ctx, pursueEvery)
	}
}

// resolve reads the answer to a change. It returns false while the change is
// in doubt. Once a change was in doubt, "not accepted" says nothing about the
// earlier attempt.
func (a *app) resolve(cmd *cli.Command, change model.ConfigChange, r reply, inDoubt *bool) (bool, error) {
	var answer operatorapi.ChangeReply
	if json.Unmarshal(r.body, &answer) != nil || answer.Status == "" || answer.Change != change.ID {
		*inDoubt = *inDoubt || !r.isRefused() && r.status != fasthttp.StatusServiceUnavailable
		if *inDoubt && !r.isRefused() {
			return false, nil
		}
		r.ambiguous = *inDoubt
		return true, refusal(call{method: fasthttp.MethodPost}, r)
	}
	switch answer.Status {
	case operatorapi.ChangeAccepted:
		change.Version = answer.Version
		return true, a.print(cmd, answer, func() {
			a.printf("accepted as version %d: %s\n", answer.Version, configfile.Describe(change))
		})
	case operatorapi.ChangeConflict:
		return true, a.conflict(cmd, change, answer)
	case operatorapi.ChangeNotAccepted:
		if *inDoubt {
			return false, nil
		}
		return true, fail(ExitNotAccepted, "not accepted, nothing changed: %s Come back in %s.", answer.Sentence,
			time.Duration(answer.RetryAfterMS)*time.Millisecond)
	case operatorapi.ChangeInDoubt:
		*inDoubt = true
		return false, nil
	default:
		return true, fail(ExitInDoubt, "entry host %s answered with the unknown status %q", r.entry, answer.Status)
	}
}

// conflict reports a lost race with the winner's change.
func (a *app) conflict(cmd *cli.Command, change model.ConfigChange, answer operatorapi.ChangeReply) error {
	if cmd.Bool(flagJSON) {
		if err := a.print(cmd, answer, nil); err != nil {
			return err
		}
	}
	if answer.Winner == nil {
		return fail(ExitConflict, "%s: the object does not have version %d; nothing changed", change.Object, change.ExpectedVersion)
	}
	w := answer.Winner
	return fail(ExitConflict, "%s: nothing changed; operator %q came first at %s with version %d: %s", change.Object,
		w.Operator, w.Time.UTC().Format(time.RFC3339), w.Version, configfile.Describe(*w))
}
