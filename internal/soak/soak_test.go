package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// TestShortSoak runs the programs as processes under some seconds of faults.
func TestShortSoak(t *testing.T) {
	binaries := t.TempDir()
	build := exec.Command("go", "build", "-o", binaries+string(filepath.Separator), "dragonflyyard/cmd/dragonfly-entry", "dragonflyyard/cmd/dragonfly-agent")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	report, err := Run(Config{Seed: 7, Disturbed: 6 * time.Second, Entries: 2, Agents: 3, Binaries: binaries, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	for _, broken := range report.Broken {
		t.Error(broken)
	}
	if report.Accepted == 0 || report.Starts == 0 || report.Faults == 0 {
		t.Errorf("%d jobs accepted, %d starts, %d faults: the soak does nothing", report.Accepted, report.Starts, report.Faults)
	}
}
