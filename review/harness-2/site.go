//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dragonflyyard/internal/standin"
)

// Bounds of the small deployment whose settings the cases use (DEPLOY.md).
const (
	graceS      = 6
	holdMaxMS   = 10000
	heartbeatMS = 1500
	stopMS      = 200
	service     = "inscricoes"
	host        = "fair.example"
)

// recorder writes record.txt: what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *recorder) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// process is one of the project's programs, or an executor.
type process struct {
	name    string
	argv    []string
	env     []string
	dir     string
	out     func(io.Reader)
	log     string
	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// ending is set when the play ends: nothing is started any more.
var ending atomic.Bool

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ending.Load() {
		return errors.New("the play ends")
	}
	command := exec.Command(p.argv[0], p.argv[1:]...)
	command.Dir, command.Env = p.dir, p.env
	log, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command.Stderr = log
	command.Stdout = log
	var read *os.File
	if p.out != nil {
		r, w, err := os.Pipe()
		if err != nil {
			return err
		}
		command.Stdout, read = w, r
		defer w.Close()
	}
	if err := command.Start(); err != nil {
		return err
	}
	if read != nil {
		go p.out(read)
	}
	p.command, p.ended = command, make(chan struct{})
	go func(ended chan struct{}) {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}(p.ended)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	if p.ended != nil {
		<-p.ended
	}
}

type site struct {
	root, dir string
	rec       *recorder
	store     *standin.Store
	storeAddr string
	ip        string
	taken     map[string]bool
	processes []*process
	entries   []string
	executors []*executorProcess
	late      lateWrites

	mu     sync.Mutex
	events []event
}

type executorProcess struct {
	config executorConfig
	*process
}

type tenant struct {
	Name       string         `json:"name"`
	Keys       []string       `json:"api_keys"`
	Priority   int            `json:"priority"`
	Guaranteed map[string]int `json:"guaranteed"`
}

func newSite(root string, rec *recorder) (*site, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	s := &site{root: root, dir: dir, rec: rec, store: standin.NewStore(time.Now), taken: map[string]bool{}, ip: fmt.Sprintf("127.%d.%d.%d", 1+(pid>>16)%250, 1+(pid>>8)%250, 1+pid%250)}
	listener, err := net.Listen("tcp4", s.ip+":0")
	if err != nil {
		return nil, err
	}
	s.storeAddr = listener.Addr().String()
	go s.serveStore(listener)
	return s, nil
}

// address returns a free loopback address.
func (s *site) address() string {
	for {
		l, err := net.Listen("tcp4", s.ip+":0")
		if err != nil {
			panic(err)
		}
		a := l.Addr().String()
		_ = l.Close()
		if !s.taken[a] {
			s.taken[a] = true
			return a
		}
	}
}

// configure writes the manifest as the operator does. Queues: urgent (priority 0),
// middle (1) and low (2).
func (s *site) configure(version int, tenants []tenant) error {
	type route map[string]any
	queue := func(name string, priority, attempts, target int, slack float64) route {
		return route{"name": "r-" + name, "host": host, "path_prefix": "/" + name + "/", "kind": "non_idempotent", "timeout_ms": 3000,
			"target_duration_ms": target, "priority": priority, "service": service, "max_attempts": attempts, "slack_factor": slack, "anonymous": false}
	}
	body, err := json.Marshal(map[string]any{
		"version": version,
		"routes":  []route{queue("urgent", 0, 2, 250, 1.5), queue("middle", 1, 4, 1000, 3), queue("low", 2, 4, 3000, 3)},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false,
			"cold_start_s": 0.0, "cold_per_s": 0.0, "enforces_capacity": false, "standby": false}},
		"limits":  map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	})
	if err != nil {
		return err
	}
	s.rec.say("operator: manifest %d %s", version, body)
	return s.store.Seed("op/config", body)
}

func (s *site) program(name, program, settings string) (*process, error) {
	path := filepath.Join(s.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	p := &process{name: name, argv: []string{filepath.Join(s.root, "target", program), "deployed"}, dir: s.root, log: filepath.Join(s.dir, name+".log"),
		env: []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "DRAGONFLYYARD_CONFIG=" + path}}
	s.processes = append(s.processes, p)
	return p, p.start()
}

// addEntry starts an entry host with the settings that deploy/entry.yaml.tmpl renders.
func (s *site) addEntry(zone string) (*process, error) {
	name := fmt.Sprintf("frontend-%s-1", zone)
	callers, ready, metrics, relay := s.address(), s.address(), s.address(), s.address()
	s.entries = append(s.entries, callers)
	return s.program(name, "dragonfly-entry", fmt.Sprintf(
		"host: %q\nregion: \"nordeste\"\nzone: %q\ncallers_address: %q\nreadiness_address: %q\nmetrics_address: %q\nrelay_address: %q\nstore_address: %q\nstop_grace: %ds\ncores: 0.4\nlink_mbps: 1000.0\nlog_level: info\n",
		name, zone, callers, ready, metrics, relay, s.storeAddr, graceS))
}

// addExecutor starts an executor and the agent beside it, with the settings that
// deploy/agent.yaml.tmpl renders.
func (s *site) addExecutor(c executorConfig) (*executorProcess, *process, error) {
	c.Listen, c.Control = s.address(), s.address()
	c.Service, c.HoldMaxMS, c.StopMS, c.HeartbeatMS = service, holdMaxMS, stopMS, heartbeatMS
	if c.CPU == 0 {
		c.CPU, c.MemoryMB = 64000, 131072
	}
	name := fmt.Sprintf("side-%s-%d", c.Zone, len(s.executors)+1)
	agent, err := s.program(name, "dragonfly-agent", fmt.Sprintf(
		"host: %q\nregion: \"nordeste\"\nzone: %q\ncontrol_address: %q\nworker_address: %q\nmetrics_address: %q\nstore_address: %q\npush_address: %q\nstop_grace: %ds\nlongest_lease: %dms\nlog_level: info\n",
		name, c.Zone, c.Control, c.Listen, s.address(), s.storeAddr, s.address(), graceS, holdMaxMS))
	if err != nil {
		return nil, nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, nil, err
	}
	x := &executorProcess{config: c, process: &process{name: c.ID, dir: s.dir, log: filepath.Join(s.dir, c.ID+".log"), out: s.readEvents, env: []string{"PATH=" + os.Getenv("PATH")}}}
	x.argv = []string{self, "executor", c.json()}
	s.executors = append(s.executors, x)
	s.processes = append(s.processes, x.process)
	return x, agent, x.start()
}

func (c executorConfig) json() string {
	text, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// boot starts an executor again that was killed, with its present configuration.
func (x *executorProcess) boot() error {
	x.argv[2] = x.config.json()
	return x.start()
}

func (s *site) readEvents(r io.Reader) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			continue
		}
		s.mu.Lock()
		s.events = append(s.events, e)
		s.mu.Unlock()
		s.rec.say("executor %s (born %d): %s %s run %d %s %s", e.ID, e.Born, e.Kind, e.Task, e.Run, e.How, e.Detail)
	}
}

// seen returns the events so far, in the order of their times.
func (s *site) seen() []event {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := append([]event(nil), s.events...)
	sort.SliceStable(out, func(i, j int) bool { return out[i].UnixMS < out[j].UnixMS })
	return out
}

func (s *site) close() {
	ending.Store(true)
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range s.processes {
		if p.ended != nil {
			<-p.ended
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		s.rec.say("logs in the temporary folder %s", filepath.Base(s.dir))
	}
}

// step is a step of a job as clients send it.
type step map[string]any

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

var client = http.Client{Timeout: 3 * time.Second}

// do makes one call of a client and returns the status, 0 for no answer.
func (s *site) do(method string, entry int, path, key string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+s.entries[entry%len(s.entries)]+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Credential", key)
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		s.rec.say("client: %s %s -> no answer (%v)", method, path, err)
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	s.rec.say("client: %s %s %s -> %d %s", method, path, data, resp.StatusCode, text)
	return resp.StatusCode, string(text)
}

// submit hands a job in until it is accepted, at most for the given time, and returns
// its ID and the time of the ack.
func (s *site) submit(queue, key, spec string, within time.Duration, steps ...step) (string, time.Time, error) {
	id := newID()
	for i, until := 0, time.Now().Add(within); time.Now().Before(until); i++ {
		status, _ := s.do(http.MethodPost, i, "/"+queue+"/"+id, key, map[string]any{"spec": spec, "steps": steps})
		if status/100 == 2 {
			return id, time.Now(), nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return id, time.Time{}, fmt.Errorf("job %s was not accepted", id)
}

func (s *site) state(queue, key, id string) string {
	status, body := s.do(http.MethodGet, rand.Intn(8), "/"+queue+"/"+id, key, nil)
	var out struct{ State string }
	if status == 200 && json.Unmarshal([]byte(body), &out) == nil {
		return out.State
	}
	return fmt.Sprint(status)
}
