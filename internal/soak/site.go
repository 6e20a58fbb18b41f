package soak

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/httpserver"
	"dragonflyyard/internal/standin"
)

const configuration = `{"version":1,"routes":[{"name":"low","host":"h","path_prefix":"/low/","service":"s","priority":2,"max_attempts":3,"slack_factor":3,"target_duration_ms":1000},
	{"name":"urgent","host":"h","path_prefix":"/urgent/","service":"s","priority":0,"max_attempts":3,"slack_factor":3,"target_duration_ms":1000}],
	"limits":{"max_body_bytes":100000},"tenants":[{"name":"t","api_keys":["k"],"guaranteed":{"gpu":16}}],"services":[]}`

// process is one of the programs, with the way that it takes to the store.
type process struct {
	name    string
	args    []string
	log     string
	toStore *standin.Middlebox

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// wanted is set while the process is to run.
	wanted bool
}

// site is a deployment on the loopback: a store and workers inside the soak,
// entry hosts and agents as processes.
type site struct {
	dir       string
	store     *standin.Store
	callers   []string
	processes []*process
	workers   []*standin.JobWorker
	servers   []*httpserver.Server
	beats     context.CancelFunc
	// faces are all addresses that processes listen on.
	faces []string
	// taken holds the addresses that processes listen on.
	taken map[string]bool
	// version is that of the last configuration.
	version int
}

func (s *site) listen(server *fasthttp.Server) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	served := httpserver.New(server, listener)
	s.servers = append(s.servers, served)
	go func() { _ = served.Serve() }()
	return listener.Addr().String(), nil
}

// ownHost returns a loopback address of this process's own. The programs listen
// on ports that were free a moment before, so processes that run beside, such as
// other soaks, must not draw from the same ones.
func ownHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>16)%250, 1+(pid>>8)%250, 1+pid%250)
}

// freeAddress returns an address that nothing listens on.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp4", ownHost()+":0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	return listener.Addr().String(), listener.Close()
}

func newSite(c Config, checker *checker) (*site, error) {
	dir, err := os.MkdirTemp(c.Dir, "soak-")
	if err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	s := &site{dir: dir, store: standin.NewStore(time.Now), version: 1, taken: map[string]bool{}}
	storeAddress, err := s.listen(&fasthttp.Server{Handler: s.store.HandleRows})
	if err != nil {
		return nil, err
	}
	if err := s.store.Seed("op/config", []byte(configuration)); err != nil {
		return nil, err
	}
	beating, cancel := context.WithCancel(context.Background())
	s.beats = cancel
	for i := range c.Entries {
		if err := s.addEntry(c, i, storeAddress); err != nil {
			return nil, err
		}
	}
	for i := range c.Agents {
		if err := s.addAgent(beating, c, i, storeAddress, checker); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *site) addEntry(c Config, i int, store string) error {
	addresses, box, err := s.addresses(4, store)
	if err != nil {
		return err
	}
	s.callers = append(s.callers, addresses[0])
	s.faces = append(s.faces, addresses...)
	return s.add(fmt.Sprintf("entry-%d", i), filepath.Join(c.Binaries, "dragonfly-entry"), box, fmt.Sprintf(
		"host: entry-%d\nregion: r\nzone: z%d\ncallers_address: %s\nreadiness_address: %s\nmetrics_address: %s\nrelay_address: %s\nstore_address: %s\nstop_grace: %s\n",
		i, i%3, addresses[0], addresses[1], addresses[2], addresses[3], box.Address(), stopGrace))
}

func (s *site) addAgent(beating context.Context, c Config, i int, store string, checker *checker) error {
	addresses, box, err := s.addresses(3, store)
	if err != nil {
		return err
	}
	s.faces = append(s.faces, addresses...)
	worker := standin.NewJobWorker(fmt.Sprintf("i-%d", i), "s", fmt.Sprintf("z%d", i%3), fmt.Sprintf("rack-%d", i%2))
	worker.Observe(checker.event)
	s.workers = append(s.workers, worker)
	app, err := s.listen(&fasthttp.Server{Handler: worker.Handle})
	if err != nil {
		return err
	}
	go func() {
		for sequence := 1; beating.Err() == nil; sequence++ {
			// The agent may be away: the next heartbeat follows.
			_ = worker.Beat(addresses[0], sequence)
			time.Sleep(beatEvery)
		}
	}()
	return s.add(fmt.Sprintf("side-%d", i), filepath.Join(c.Binaries, "dragonfly-agent"), box, fmt.Sprintf(
		"host: side-%d\nregion: r\nzone: z%d\ncontrol_address: %s\nworker_address: %s\nmetrics_address: %s\nstore_address: %s\npush_address: %s\nlongest_lease: 10s\n",
		i, i%3, addresses[0], app, addresses[1], box.Address(), addresses[2]))
}

// stopGrace is the time between SIGTERM and SIGKILL.
const stopGrace = 4 * time.Second

// beatEvery is the interval of the workers' heartbeats.
const beatEvery = 200 * time.Millisecond

// addresses returns free addresses and a middlebox that leads to the store.
// None was returned before: a port that is free now may be that of a process which is
// starting.
func (s *site) addresses(n int, store string) ([]string, *standin.Middlebox, error) {
	var out []string
	for len(out) < n {
		address, err := freeAddress()
		if err != nil {
			return nil, nil, err
		}
		if !s.taken[address] {
			s.taken[address] = true
			out = append(out, address)
		}
	}
	box, err := standin.NewMiddlebox()
	if err != nil {
		return nil, nil, err
	}
	box.SetTarget(store)
	return out, box, nil
}

func (s *site) add(name, binary string, box *standin.Middlebox, settings string) error {
	path := filepath.Join(s.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	p := &process{name: name, args: []string{binary, "deployed", "--settings", path}, log: filepath.Join(s.dir, name+".log"), toStore: box}
	s.processes = append(s.processes, p)
	return p.start()
}

// start starts the process and keeps it running until stop.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted = true
	return p.launch()
}

func (p *process) launch() error {
	log, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	command := exec.Command(p.args[0], p.args[1:]...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "start"), log.Close())
	}
	p.command, p.ended = command, make(chan struct{})
	go func(ended chan struct{}) {
		// How it ended is in its log.
		_ = command.Wait()
		_ = log.Close()
		close(ended)
		p.relaunch()
	}(p.ended)
	return nil
}

// restartAfter is how long a process that ended stays away.
const restartAfter = 300 * time.Millisecond

func (p *process) relaunch() {
	time.Sleep(restartAfter)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wanted {
		// A start that fails shows as jobs that don't complete.
		_ = p.launch()
	}
}

// signal sends a signal to the process that runs at present.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// It may have ended meanwhile.
	_ = p.command.Process.Signal(signal)
}

// terminate sends SIGTERM, and SIGKILL to the same process when the grace is over.
func (p *process) terminate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	command, ended := p.command, p.ended
	// It may have ended meanwhile.
	_ = command.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
		case <-time.After(stopGrace):
			_ = command.Process.Kill()
		}
	}()
}

// stop ends the process for good.
func (p *process) stop() {
	p.mu.Lock()
	p.wanted = false
	// It may have ended meanwhile.
	_ = p.command.Process.Kill()
	ended := p.ended
	p.mu.Unlock()
	<-ended
}

func (s *site) close() {
	s.beats()
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
		p.stop()
		p.toStore.Close()
	}
	within, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, server := range s.servers {
		_ = server.Shutdown(within)
	}
}
