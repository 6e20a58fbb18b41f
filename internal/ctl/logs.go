package ctl

import (
	"context"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"dragonflyyard/internal/logstory"
)

// logsCommand prints what the logs of deployed processes hold of one job.
func (a *app) logsCommand() *cli.Command {
	return &cli.Command{
		Name: "logs", Usage: "print what the logs of deployed processes hold of a job, in order", ArgsUsage: "JOB FILE...",
		Action: a.printLogs,
	}
}

func (a *app) printLogs(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() < 2 {
		return fail(ExitUsage, "a job and at least one log file are needed")
	}
	id := cmd.Args().First()
	var story logstory.Story
	for _, path := range cmd.Args().Tail() {
		if err := addLog(&story, path, id); err != nil {
			return fail(ExitUsage, "%v", err)
		}
	}
	if len(story.Lines) == 0 {
		return fail(ExitCheckFailed, "no line names %s", id)
	}
	for _, line := range story.Lines {
		a.printf("%s\n", line)
	}
	if story.Unreadable > 0 {
		a.printf("%d lines that name it can't be read\n", story.Unreadable)
	}
	for _, missing := range story.Missing() {
		a.printf("missing: %s\n", missing)
	}
	return nil
}

func addLog(story *logstory.Story, path, id string) (err error) {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() {
		if closed := file.Close(); err == nil {
			err = closed
		}
	}()
	return story.Add(filepath.Base(path), file, id)
}
