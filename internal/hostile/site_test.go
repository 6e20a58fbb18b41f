package hostile

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/coretest"
	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/settings"
	"dragonflyyard/internal/standin"
)

// The machine of a process in these tests. Small limits let a small crowd show what a
// large one does to a large machine.
const (
	memoryMB    = 64
	descriptors = 128
)

const configuration = `{"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/q/","service":"s","priority":1,"max_attempts":2,"slack_factor":2,"target_duration_ms":100}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":["k"],"guaranteed":{"gpu":8}}],"services":[]}`

// face is one address of a process with a request that it answers.
type face struct {
	name, address, method, path string
	headers                     string
	// body is that of the ordinary request; limit is the largest that was ever taken.
	body  []byte
	limit int
	// swells is a body inside the limit that decodes to far more.
	swells []byte
}

// process is a program under test, with its faces.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
	log     string
	faces   map[string]face
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

// startStore starts a stand-in store with a configuration.
func startStore(t *testing.T) (address string) {
	t.Helper()
	store := standin.NewStore(time.Now)
	if err := store.Seed("op/config", []byte(configuration)); err != nil {
		t.Fatal(err)
	}
	for i := range bigRows {
		if err := store.Seed(fmt.Sprintf("big/p/%04d", i), make([]byte, bigRowBytes)); err != nil {
			t.Fatal(err)
		}
	}
	return coretest.Serve(t, store.HandleRows)
}

// A table of the store that a relay reads for anyone who asks.
const (
	bigRows     = 80
	bigRowBytes = 48 << 10
)

// freeAddresses returns addresses of this process's own that nothing listens on.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	pid := os.Getpid()
	out := make([]string, n)
	for i := range out {
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 1+(pid>>16)%250, 1+(pid>>8)%250, 1+pid%250))
		if err != nil {
			t.Fatal(err)
		}
		out[i] = listener.Addr().String()
		defer func() { _ = listener.Close() }()
	}
	return out
}

// machineSettings returns the settings of the machine's limits, where a release knows them.
func machineSettings() string {
	if _, known := reflect.TypeFor[settings.DeployedEntry]().FieldByName("MemoryMB"); !known {
		return ""
	}
	return fmt.Sprintf("memory_mb: %d\nfile_descriptors: %d\n", memoryMB, descriptors)
}

// start starts a program under the limit of descriptors, and waits until every face
// answers its ordinary request with 200, or a push with what it gives to strangers.
func start(t *testing.T, binary, settings string, faces map[string]face) *process {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "settings.yaml")
	if err := os.WriteFile(path, []byte(settings+machineSettings()), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{log: filepath.Join(dir, "log"), ended: make(chan struct{}), faces: faces}
	log, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	p.command = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s deployed --settings %s", descriptors, binary, path))
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		// How it ended is in its log.
		_ = p.command.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.ended
	})
	for _, f := range faces {
		if err := f.answered(); err != nil {
			t.Fatalf("in calm: %v\n%s", err, p.lastLines())
		}
	}
	return p
}

// startEntry starts an entry host beside a store.
func startEntry(t *testing.T, binaries, store string) *process {
	a := freeAddresses(t, 4)
	const keys = "Host: h\r\nCredential: k\r\nDeadline-Ms: 3000\r\n"
	return start(t, filepath.Join(binaries, "dragonfly-entry"), fmt.Sprintf(
		"host: e\nregion: r\nzone: z\ncallers_address: %s\nreadiness_address: %s\nmetrics_address: %s\nrelay_address: %s\nstore_address: %s\n", a[0], a[1], a[2], a[3], store),
		map[string]face{
			"callers": {name: "callers", address: a[0], method: "POST", path: "/q/00000000000000aa", headers: keys, limit: 1 << 20,
				body: []byte(`{"spec":"1s","steps":[{"count":1,"cpu":1000,"estimate_ms":300}]}`), swells: swellingJob()},
			"readiness": {name: "readiness", address: a[1], method: "GET", path: "/", headers: "Host: h\r\n", limit: 4 << 20},
			"metrics":   {name: "metrics", address: a[2], method: "GET", path: "/metrics", headers: "Host: h\r\n", limit: 4 << 20},
			"relay": {name: "relay", address: a[3], method: "POST", path: "/store/get", headers: "Host: h\r\n", limit: 2 << 20,
				body: rowcodec.Encode(map[string]any{"k": "op/config"}), swells: swellingRows("t", "p")},
			"pushes": {name: "pushes", address: a[3], method: "POST", path: "/rows/pushed", headers: "Host: h\r\n", limit: 2 << 20,
				body: rowcodec.Encode(map[string]any{"r": []any{}}), swells: swellingRows("", "r")},
		})
}

// startAgent starts an agent beside a store and a worker.
func startAgent(t *testing.T, binaries, store string) *process {
	a := freeAddresses(t, 3)
	worker := standin.NewJobWorker("i-0", "s", "z", "rack")
	return start(t, filepath.Join(binaries, "dragonfly-agent"), fmt.Sprintf(
		"host: side\nregion: r\nzone: z\ncontrol_address: %s\nworker_address: %s\nmetrics_address: %s\nstore_address: %s\npush_address: %s\n", a[0], coretest.Serve(t, worker.Handle), a[1], store, a[2]),
		map[string]face{
			"control": {name: "control", address: a[0], method: "PUT", path: "/instances/i-0", headers: "Host: h\r\n", limit: 4 << 20, swells: swellingHeartbeat(),
				body: []byte(`{"service":"s","address":"127.0.0.1:1","zone":"z","state":"ready","capacity":{"cpu":64000,"memory_request_mb":131072,"gpu":8},"labels":["a","rack"],"sequence":1,"born":1}`)},
			"metrics": {name: "metrics", address: a[1], method: "GET", path: "/metrics", headers: "Host: h\r\n", limit: 4 << 20},
			"pushes": {name: "pushes", address: a[2], method: "POST", path: "/rows/pushed", headers: "Host: h\r\n", limit: 2 << 20,
				body: rowcodec.Encode(map[string]any{"r": []any{}}), swells: swellingRows("", "r")},
		})
}

// answered makes ordinary requests until one is answered as in calm, for ten seconds.
func (f face) answered() error {
	var last string
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.Header.SetMethod(f.method)
		req.SetRequestURI("http://" + f.address + f.path)
		req.UseHostHeader = true
		for line := range strings.Lines(f.headers) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
			req.Header.Set(name, value)
		}
		req.Header.SetConnectionClose()
		req.SetBody(f.body)
		client := fasthttp.HostClient{Addr: f.address, MaxIdemponentCallAttempts: 1}
		err := client.DoTimeout(req, resp, 5*time.Second)
		last = fmt.Sprintf("%s: status %d, error %v", f.name, resp.StatusCode(), err)
		// A push that no part of the process waits for is misdirected.
		done := err == nil && (resp.StatusCode() == 200 || f.path == "/rows/pushed" && resp.StatusCode() == 421)
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
		if done {
			return nil
		}
	}
	return fmt.Errorf("no answer: %s", last)
}

// peakMB returns the largest memory that the process has held.
func (p *process) peakMB(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		t.Fatalf("the process has ended: %v\n%s", err, p.lastLines())
	}
	for line := range strings.Lines(string(status)) {
		if text, found := strings.CutPrefix(line, "VmHWM:"); found {
			kb, err := strconv.Atoi(strings.Fields(text)[0])
			if err != nil {
				t.Fatal(err)
			}
			return kb / 1024
		}
	}
	t.Fatalf("the process has ended\n%s", p.lastLines())
	return 0
}

// openFiles returns the number of descriptors that the process has open.
func (p *process) openFiles(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		t.Fatalf("the process has ended: %v\n%s", err, p.lastLines())
	}
	return len(entries)
}

// lastLines returns the end of the process's log.
func (p *process) lastLines() string {
	text, _ := os.ReadFile(p.log)
	return string(text[max(0, len(text)-3000):])
}
