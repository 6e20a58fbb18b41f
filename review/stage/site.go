//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Ports of the machines, the same on each, as in the example of DEPLOY.md.
const (
	portFrontend  = 8521
	portReadiness = 8523
	portStore     = 8524
	portControl   = 8526
	portApp       = 8529
	portInternal  = 7000
	portMetrics   = 7015
)

// lastMachine is the number of the last loopback address of a site, which is that of the store.
const lastMachine = 16

const (
	serviceName  = "huvo11a"
	queueHost    = "nony24.example"
	apiKey       = "d4a3hwrr6x73d3zji9n7"
	bigQueue     = "/lohu930/"
	smallQueue   = "/pufi791/"
	urgentQueue  = "/pule252/"
	otherAPIKey  = "3hh2b9wu3fexd9dnn2ct"
	callDeadline = 3 * time.Second
)

// config is the manifest: a queue of each priority and two tenants.
const config = `{"version":7,"routes":[
{"name":"r-ce7ejsm","host":"nony24.example","path_prefix":"/lohu930/","kind":"non_idempotent","timeout_ms":3000,"target_duration_ms":3000,"priority":2,"service":"huvo11a","max_attempts":2,"slack_factor":3.0,"anonymous":false},
{"name":"r-zzyyjsg","host":"nony24.example","path_prefix":"/pufi791/","kind":"non_idempotent","timeout_ms":3000,"target_duration_ms":1000,"priority":1,"service":"huvo11a","max_attempts":3,"slack_factor":3.0,"anonymous":false},
{"name":"r-3ajwyy7","host":"nony24.example","path_prefix":"/pule252/","kind":"non_idempotent","timeout_ms":3000,"target_duration_ms":250,"priority":0,"service":"huvo11a","max_attempts":2,"slack_factor":1.5,"anonymous":false}],
"services":[{"name":"huvo11a","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"enforces_capacity":false,"standby":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"kaje80","api_keys":["d4a3hwrr6x73d3zji9n7"],"priority":1,"guaranteed":{"gpu":8}},{"name":"vola31","api_keys":["3hh2b9wu3fexd9dnn2ct"],"priority":1,"guaranteed":{"gpu":8}}]}`

var zones = []string{"cuyo-mza", "cuyo-sju", "cuyo-slu"}

// site is a small deployment on loopback addresses: three frontend machines, and side machines with an executor each.
type site struct {
	dir, net  string
	record    *record
	history   *history
	store     *store
	entries   []string
	executors []*executor
	processes []*process
	stop      chan struct{}
	servers   []*http.Server
}

type process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{}
	stopped bool
}

// freeNet returns the first three numbers of loopback addresses on which the site's ports are free.
func freeNet() (string, error) {
	for try := range 50 {
		n := os.Getpid() + 61*try
		prefix := fmt.Sprintf("127.%d.%d", 20+(n>>8)%200, n%250+1)
		free := true
		for machine := 1; machine <= lastMachine && free; machine++ {
			for _, port := range []int{portFrontend, portReadiness, portStore, portControl, portApp, portInternal, portMetrics} {
				listener, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", prefix, machine, port))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", errors.New("no loopback addresses with free ports")
}

// newSite starts the deployment. kinds gives the kind of each executor, one a side machine.
func newSite(r *record, kinds []string) (*site, error) {
	prefix, err := freeNet()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, net: prefix, record: r, history: newHistory(r), store: newStore(r), stop: make(chan struct{})}
	s.store.put("op", "config", []byte(config))
	storeAddress, err := s.listen(lastMachine, portStore, s.store)
	if err != nil {
		return s, err
	}
	commands, err := deployCommands("deploy/system.toml")
	if err != nil {
		return s, err
	}
	for i, zone := range zones {
		ip := s.ip(i + 1)
		s.entries = append(s.entries, fmt.Sprintf("%s:%d", ip, portFrontend))
		values := s.values(fmt.Sprintf("frontend-%s-1", zone), ip, zone, storeAddress)
		if err := s.launch(fmt.Sprintf("frontend-%s-1", zone), commands["entry"], "deploy/entry.yaml.tmpl", values); err != nil {
			return s, err
		}
	}
	for i, kind := range kinds {
		if err := s.addSide(i, kind, commands["agent"], storeAddress); err != nil {
			return s, err
		}
	}
	return s, s.awaitReady()
}

func (s *site) ip(machine int) string { return fmt.Sprintf("%s.%d", s.net, machine) }

func (s *site) listen(machine, port int, handler http.Handler) (string, error) {
	address := fmt.Sprintf("%s:%d", s.ip(machine), port)
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ErrorLog: nil}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return address, nil
}

func (s *site) addSide(i int, kind, command, storeAddress string) error {
	machine, zone := i+4, zones[i%len(zones)]
	name := fmt.Sprintf("side-%s-%d", zone, 1+i/len(zones))
	ip := s.ip(machine)
	e := &executor{
		record: s.record, history: s.history, machine: name, control: fmt.Sprintf("%s:%d", ip, portControl),
		service: serviceName, zone: zone, labels: []string{kind, "r1-1"}, booted: make(chan struct{}, 1),
	}
	e.address = fmt.Sprintf("%s:%d", ip, portApp)
	s.executors = append(s.executors, e)
	if err := s.launch(name, command, "deploy/agent.yaml.tmpl", s.values(name, ip, zone, storeAddress)); err != nil {
		return err
	}
	if err := e.boot(fmt.Sprintf("i-7f3a91c%d", i)); err != nil {
		return err
	}
	go e.work(s.stop)
	go e.beat(s.stop)
	return nil
}

// values are the fields of the platform's settings that the project's templates name.
func (s *site) values(name, ip, zone, storeAddress string) map[string]string {
	return map[string]string{
		"node_name": name, "region": "cuyo", "zone": zone, "ip": ip, "platform.address": storeAddress,
		"listen.frontend": fmt.Sprintf("%s:%d", ip, portFrontend), "listen.readiness": fmt.Sprintf("%s:%d", ip, portReadiness),
		"listen.control": fmt.Sprintf("%s:%d", ip, portControl), "app": fmt.Sprintf("%s:%d", ip, portApp),
		"internal_ports.0": fmt.Sprint(portInternal), "bounds.grace_s": "6", "bounds.hold_max_ms": fmt.Sprint(holdMax.Milliseconds()),
		"limits.cpu_share": "0.4", "limits.link_mbps": "1000.0",
		"limits.memory_mb": "284", "limits.file_descriptors": "4100",
	}
}

var (
	placeholder = regexp.MustCompile(`\{\{([a-z_0-9.]+)(\|json)?\}\}`)
	roleLine    = regexp.MustCompile(`(?m)^\[roles\.([a-z]+)\]\nrun = "([^"]+)"`)
)

// render fills in one of the project's templates as DEPLOY.md says.
func render(path string, values map[string]string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	missing := ""
	out := placeholder.ReplaceAllStringFunc(string(text), func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		value, known := values[parts[1]]
		if !known {
			missing = parts[1]
		}
		if parts[2] != "" && value != "6" {
			quoted, _ := json.Marshal(value)
			return string(quoted)
		}
		return value
	})
	if missing != "" {
		return "", fmt.Errorf("%s: no value for %s", path, missing)
	}
	return out, nil
}

// deployCommands returns the commands of the deploy file's roles.
func deployCommands(path string) (map[string]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	out := map[string]string{}
	for _, role := range roleLine.FindAllStringSubmatch(string(text), -1) {
		out[role[1]] = role[2]
	}
	return out, nil
}

func (s *site) launch(name, command, template string, values map[string]string) error {
	settings, err := render(template, values)
	if err != nil {
		return err
	}
	path := filepath.Join(s.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	words := strings.Fields(command)
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DRAGONFLYYARD_CONFIG=" + path}
	// The process ends with this one, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{name: name, command: cmd, ended: make(chan struct{})}
	s.processes = append(s.processes, p)
	s.record.add(name, "process started: %s", command)
	go func() {
		err := cmd.Wait()
		if !p.stopped {
			s.record.add(name, "process ended by itself: %v", err)
		}
		_ = log.Close()
		close(p.ended)
	}()
	return nil
}

// awaitReady waits until each frontend machine says that it is ready.
func (s *site) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for i := range zones {
			if resp, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", s.ip(i+1), portReadiness)); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(zones) {
			return nil
		}
	}
	return errors.New("the frontend machines did not become ready")
}

func (s *site) close() {
	close(s.stop)
	for _, p := range s.processes {
		p.stopped = true
		_ = p.command.Process.Kill()
	}
	for _, p := range s.processes {
		<-p.ended
	}
	for _, e := range s.executors {
		e.mu.Lock()
		if e.up {
			e.off()
		}
		e.mu.Unlock()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, server := range s.servers {
		_ = server.Shutdown(ctx)
		_ = server.Close()
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}
