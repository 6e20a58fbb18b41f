package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// seeds are run in CI. All but the first one failed once; the names say why.
var seeds = []struct {
	name string
	seed uint64
}{
	{"none failed", 7},
	// These guard against a start that reaches a worker's next incarnation and whose
	// end is reported as lost while the run is at work
	// (TestStartReachesNextIncarnation in internal/taskrunner).
	{"start taken by the next life, four starts too many", 11},
	{"start taken by the next life, five starts too many", 35},
}

func buildPrograms(t *testing.T) (folder string) {
	t.Helper()
	folder = t.TempDir()
	build := exec.Command("go", "build", "-o", folder+string(filepath.Separator), "dragonflyyard/cmd/dragonfly-entry", "dragonflyyard/cmd/dragonfly-agent")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return folder
}

// TestShortSoak runs the programs as processes under some seconds of faults.
func TestShortSoak(t *testing.T) {
	binaries := buildPrograms(t)
	for _, c := range seeds {
		t.Run(c.name, func(t *testing.T) {
			soak(t, Config{Seed: c.seed, Disturbed: 5 * time.Second, Entries: 2, Agents: 3, Binaries: binaries, Dir: t.TempDir()})
		})
	}
}

// TestPlannedWork guards against calls that are cut off by stops, reloads and changes of
// the configuration, in series and overlapping, while their callers keep connections open.
func TestPlannedWork(t *testing.T) {
	soak(t, Config{Seed: 1, Planned: true, Disturbed: 10 * time.Second, Entries: 2, Agents: 3, Binaries: buildPrograms(t), Dir: t.TempDir()})
}

// TestLateWrites guards against jobs that run after their cancellation was acknowledged,
// and against runs that are started twice, while the store carries writes out late.
func TestLateWrites(t *testing.T) {
	soak(t, Config{Seed: 3, LateWrites: true, Disturbed: 5 * time.Second, Entries: 2, Agents: 3, Binaries: buildPrograms(t), Dir: t.TempDir()})
}

// TestHostileClients guards against jobs that are lost or started twice while clients that
// keep to no limit send to all processes beside the faults.
func TestHostileClients(t *testing.T) {
	soak(t, Config{Seed: 5, Hostile: true, Disturbed: 5 * time.Second, Entries: 2, Agents: 3, Binaries: buildPrograms(t), Dir: t.TempDir()})
}

func soak(t *testing.T, c Config) {
	t.Helper()
	report, err := Run(c)
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
