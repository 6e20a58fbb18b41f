package program

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

func TestExecuteExitCodes(t *testing.T) {
	spec := Spec[string]{
		Name: "dragonfly-test", Summary: "a program under test",
		Load: func(path string) (string, error) {
			if path == "bad.yaml" {
				return "", errors.New("bad.yaml:1: key: out of range")
			}
			return path, nil
		},
		LogLevel: func(string) string { return "info" },
		Run: func(_ context.Context, settings string, _ *zap.Logger) error {
			if settings == "fails.yaml" {
				return errors.New("a duty failed")
			}
			return nil
		},
	}
	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"runs", []string{"--settings", "good.yaml"}, ExitOK, ""},
		{"check", []string{"--settings", "good.yaml", "--check-settings"}, ExitOK, "good.yaml: settings are valid"},
		{"bad settings", []string{"--settings", "bad.yaml"}, ExitUsage, "out of range"},
		{"no settings", nil, ExitUsage, "--settings FILE is needed"},
		{"unknown flag", []string{"--sample"}, ExitUsage, "sample"},
		{"unknown argument", []string{"start"}, ExitUsage, "start"},
		{"failure", []string{"--settings", "fails.yaml"}, ExitFailed, "a duty failed"},
		{"version", []string{"version"}, ExitOK, Version},
		{"help", []string{"--help"}, ExitOK, "Exit codes"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			args := append([]string{spec.Name}, c.args...)
			code := Execute(context.Background(), spec, args, &out, &errOut)
			if code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			if text := out.String() + errOut.String(); !strings.Contains(text, c.want) {
				t.Errorf("printed %q, want %q in it", text, c.want)
			}
		})
	}
}
