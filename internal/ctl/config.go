package ctl

import (
	"context"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"dragonflyyard/internal/configfile"
	"dragonflyyard/internal/operatorapi"
	"dragonflyyard/internal/questionnaire"
)

func (a *app) configCommand() *cli.Command {
	return &cli.Command{Name: "config", Usage: "the whole configuration", Commands: []*cli.Command{
		{Name: "get", Usage: "print the configuration in force as a file", Action: a.getConfig},
		{Name: "set", Usage: "make the changes that lead to a configuration file", ArgsUsage: "FILE", Flags: []cli.Flag{
			&cli.BoolFlag{Name: "prune", Usage: "delete objects that the file does not have"},
			&cli.BoolFlag{Name: "dry-run", Usage: "only print the changes"},
		}, Action: a.setConfig},
		a.checkConfigCommand(),
		{Name: "history", Usage: "list the accepted changes, newest first", Flags: []cli.Flag{
			&cli.IntFlag{Name: "limit", Usage: "number of changes", Value: 20},
			&cli.Uint64Flag{Name: "before", Usage: "only changes before this version"},
		}, Action: a.configHistory},
	}}
}

func (a *app) getConfig(ctx context.Context, cmd *cli.Command) error {
	d, err := a.client(cmd).readConfig(ctx)
	if err != nil {
		return err
	}
	file, err := configfile.Render(d, "Configuration version "+strconv.FormatUint(uint64(d.Version), 10))
	if err != nil {
		return err
	}
	return a.print(cmd, d, func() { a.printf("%s", file) })
}

// setConfig sends one change after the other and stops at the first that is
// not accepted. Running it again goes on from there.
func (a *app) setConfig(ctx context.Context, cmd *cli.Command) error {
	path, err := oneArgument(cmd, "FILE")
	if err != nil {
		return err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	wanted, err := configfile.Parse(path, data)
	if err != nil {
		return err
	}
	c := a.client(cmd)
	inForce, err := c.readConfig(ctx)
	if err != nil {
		return err
	}
	changes := configfile.Changes(inForce, wanted, cmd.Bool("prune"))
	if len(changes) == 0 {
		a.printf("nothing to change: version %d has all of %s\n", inForce.Version, path)
	}
	for _, change := range changes {
		if cmd.Bool("dry-run") {
			a.printf("would set %s\n", configfile.Describe(change))
			continue
		}
		if err := a.sendChange(ctx, cmd, c, change); err != nil {
			return err
		}
	}
	return nil
}

func (a *app) configHistory(ctx context.Context, cmd *cli.Command) error {
	query := url.Values{"limit": {strconv.Itoa(cmd.Int("limit"))}}
	if cmd.IsSet("before") {
		query.Set("before", strconv.FormatUint(cmd.Uint64("before"), 10))
	}
	var history operatorapi.History
	if err := a.client(cmd).get(ctx, operatorapi.PathConfigHistory, query, &history); err != nil {
		return err
	}
	return a.print(cmd, history, func() {
		for _, change := range history.Changes {
			a.printf("%d %s %s %s change %s\n", change.Version, change.Time.UTC().Format(time.RFC3339), change.Operator,
				configfile.Describe(change), change.ID)
		}
		a.printf("kept from version %d on\n", history.Oldest)
	})
}

func (a *app) questionnaireCommand() *cli.Command {
	return &cli.Command{Name: "questionnaire", Usage: "generate a configuration from answers about a team's work",
		Description: "Without --answers the questions are asked one by one.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "answers", Usage: "read the answers from a YAML `FILE`"},
			&cli.StringFlag{Name: "output", Usage: "write the configuration to `FILE` instead of standard output"},
		}, Action: a.questionnaire}
}

func (a *app) questionnaire(_ context.Context, cmd *cli.Command) error {
	answers, err := a.answers(cmd.String("answers"))
	if err != nil {
		return err
	}
	file, err := questionnaire.ConfigurationFile(answers)
	if err != nil {
		return err
	}
	output := cmd.String("output")
	if output == "" {
		a.printf("%s", file)
		return nil
	}
	if err := os.WriteFile(output, file, 0o644); err != nil {
		return err
	}
	a.printf("wrote %s; put it in force with: dragonflyctl config set %s\n", output, output)
	return nil
}

func (a *app) answers(path string) (questionnaire.Answers, error) {
	if path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return questionnaire.Answers{}, err
		}
		answers, err := questionnaire.Parse(path, data)
		if err != nil {
			return answers, fail(ExitRefused, "%v", err)
		}
		return answers, nil
	}
	answers, err := questionnaire.Ask(a.env.In, a.env.Err)
	if err != nil {
		return answers, err
	}
	if findings := questionnaire.Check(answers); len(findings) > 0 {
		text := "the answers are refused:"
		for _, f := range findings {
			text += "\n" + f.Key + ": " + f.Message
		}
		return answers, fail(ExitRefused, "%s", text)
	}
	return answers, nil
}
