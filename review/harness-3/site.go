//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/standin"
)

// configuration has two queues of one service and one tenant.
const configuration = `{"version":1,"routes":[
{"name":"batch","host":"h.example","path_prefix":"/batch/","kind":"non_idempotent","timeout_ms":3000,"service":"s","priority":2,"max_attempts":4,"slack_factor":3,"target_duration_ms":3000,"anonymous":false},
{"name":"large","host":"h.example","path_prefix":"/large/","kind":"non_idempotent","timeout_ms":3000,"service":"s","priority":1,"max_attempts":4,"slack_factor":3,"target_duration_ms":1000,"anonymous":false}],
"services":[{"name":"s","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"enforces_capacity":false,"standby":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t","api_keys":["key"],"priority":1,"guaranteed":{"gpu":16}}]}`

// process is one of the project's programs.
type process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{}
}

// site is a small deployment like tsukushi-yard on loopback addresses: entry hosts and agents as processes,
// the platform's store and the executors as stand-ins.
type site struct {
	dir       string
	record    *record
	stop      chan struct{}
	store     *standin.Store
	entries   []*process
	callers   []string
	agents    []*process
	executors []*executor
	// toExecutors are the networks between the agents and their executors, and toAgents
	// those for the executors' own calls.
	toExecutors, toAgents []*network
}

// newSite starts a deployment. racks holds the rack of each executor.
func newSite(entries int, racks []string, p plan, r *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, record: r, stop: make(chan struct{}), store: standin.NewStore(time.Now)}
	if err := s.store.Seed("op/config", []byte(configuration)); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	store := &fasthttp.Server{Handler: s.answerRows}
	go func() { _ = store.Serve(listener) }()
	storeAddress := listener.Addr().String()
	for i := range entries {
		a, err := freeAddresses(4)
		if err != nil {
			return nil, err
		}
		p, err := s.run(fmt.Sprintf("entry-%d", i), "dragonfly-entry", fmt.Sprintf(
			"host: entry-%d\nregion: r\nzone: z%d\ncallers_address: %s\nreadiness_address: %s\nmetrics_address: %s\nrelay_address: %s\nstore_address: %s\nstop_grace: 6s\ncores: 0.4\nlink_mbps: 1000\nmemory_mb: 284\nfile_descriptors: 4100\nlog_level: info\n",
			i, i%3, a[0], a[1], a[2], a[3], storeAddress))
		if err != nil {
			return nil, err
		}
		s.entries, s.callers = append(s.entries, p), append(s.callers, a[0])
	}
	for i, rack := range racks {
		a, err := freeAddresses(3)
		if err != nil {
			return nil, err
		}
		e := newExecutor(fmt.Sprintf("i-%02d", i), fmt.Sprintf("z%d", i%3), rack, p, r)
		app, err := serve(e, s.stop)
		if err != nil {
			return nil, err
		}
		way, err := newNetwork(app)
		if err != nil {
			return nil, err
		}
		s.toExecutors = append(s.toExecutors, way)
		p, err := s.run(fmt.Sprintf("side-%d", i), "dragonfly-agent", fmt.Sprintf(
			"host: side-%d\nregion: r\nzone: z%d\ncontrol_address: %s\nworker_address: %s\nmetrics_address: %s\nstore_address: %s\npush_address: %s\nstop_grace: 6s\nlongest_lease: 6000ms\nmemory_mb: 152\nfile_descriptors: 4096\nlog_level: info\n",
			i, i%3, a[0], way.address(), a[1], storeAddress, a[2]))
		if err != nil {
			return nil, err
		}
		s.agents, s.executors = append(s.agents, p), append(s.executors, e)
		control, err := newNetwork(a[0])
		if err != nil {
			return nil, err
		}
		s.toAgents = append(s.toAgents, control)
		go e.beat(control.address(), s.stop)
		go e.tick(s.stop)
	}
	return s, nil
}

// answerRows answers a call to the store after the times of the pages: 4 ms for a reading
// call and 8 ms for a transaction.
func (s *site) answerRows(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/rows-tx" {
		time.Sleep(8 * time.Millisecond)
	} else {
		time.Sleep(4 * time.Millisecond)
	}
	s.store.HandleRows(ctx)
}

// run starts a program as deploy/system.toml says.
func (s *site) run(name, program, settings string) (*process, error) {
	path := filepath.Join(s.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	command := exec.Command("target/"+program, "deployed")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DRAGONFLYYARD_CONFIG=" + path}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, command: command, ended: make(chan struct{})}
	go func() { _ = command.Wait(); _ = log.Close(); close(p.ended) }()
	return p, nil
}

func (p *process) signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// close ends all that was started.
func (s *site) close() {
	for _, p := range append(append([]*process(nil), s.entries...), s.agents...) {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
	close(s.stop)
	for _, way := range append(s.toAgents, s.toExecutors...) {
		_ = way.listener.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}

// taken holds the addresses that were given to processes, which may not listen yet.
var taken = map[string]bool{}

// freeAddresses returns addresses that nothing listens on, on a host of this process's own.
func freeAddresses(n int) ([]string, error) {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 1+(pid>>16)%250, 1+(pid>>8)%250, 1+pid%250)
	var out []string
	for len(out) < n {
		listener, err := net.Listen("tcp4", host+":0")
		if err != nil {
			return nil, err
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if !taken[address] {
			taken[address] = true
			out = append(out, address)
		}
	}
	return out, nil
}

// call makes a client's call at an entry host and returns the status, 0 for no answer.
func (s *site) call(entry int, method, path, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+s.callers[entry%len(s.callers)]+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, ""
	}
	request.Host = "h.example"
	request.Header.Set("Credential", "key")
	request.Header.Set("Deadline-Ms", "3000")
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err.Error()
	}
	return answer.StatusCode, strings.TrimSpace(string(text))
}

var errNotReady = errors.New("the deployment did not become ready")

// submit hands a job in until it is accepted.
func (s *site) submit(queue, id, body string) error {
	for try := range 20 {
		status, text := s.call(try, http.MethodPost, "/"+queue+"/"+id, body)
		s.record.say("client sends job %s to %s: %d %s", id, queue, status, text)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return errNotReady
}

// await waits until a condition holds.
func await(within time.Duration, condition func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
