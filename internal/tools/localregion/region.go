// Package localregion starts and stops all processes of a region on this
// machine, with stand-ins for the platform. The demo and the measurements use
// it; the product's own programs start no process.
package localregion

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"dragonflyyard/internal/settings"
)

// Child is one process of a region.
type Child struct {
	Name   string
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{}
	err    error
}

// Region is the set of processes of one region. Its folder holds their settings
// and logs.
type Region struct {
	Deployment settings.Deployment
	Folder     string
	Entries    []*Child
	Agents     []*Child
	HTTP       *http.Client

	binaries string
	// answers is the file of the questionnaire's answers.
	answers string
	standin *Child
}

// New returns a region whose ports are free from the deployment's first one on.
// Programs are taken from the folder binaries.
func New(d settings.Deployment, binaries, folder string) (*Region, error) {
	first, err := freePorts(d.Host, d.FirstPort, d.Ports())
	if err != nil {
		return nil, err
	}
	d.FirstPort = first
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	return &Region{Deployment: d, binaries: binaries, Folder: folder, HTTP: &http.Client{Transport: transport, Timeout: 15 * time.Second}}, nil
}

// Open returns the region that a description file describes, and the function
// that stops it and removes its folder. Programs are taken from the folder binaries.
func Open(path, binaries string) (*Region, func(), error) {
	d, err := settings.LoadDeployment(path)
	if err != nil {
		return nil, nil, err
	}
	folder, err := os.MkdirTemp("", "dragonflyyard-region-")
	if err != nil {
		return nil, nil, err
	}
	r, err := New(d, binaries, folder)
	if err != nil {
		_ = os.RemoveAll(folder)
		return nil, nil, err
	}
	r.answers = filepath.Join(filepath.Dir(path), d.Answers)
	closeRegion := func() {
		r.StopAll()
		_ = os.RemoveAll(folder)
	}
	return r, closeRegion, nil
}

// Configure generates the configuration from the deployment's answers and puts
// it into force. It waits up to limit for the region to take it.
func (r *Region) Configure(limit time.Duration) error {
	config := filepath.Join(r.Folder, "config.yaml")
	if _, err := r.Ctl("questionnaire", "--answers", r.answers, "--output", config); err != nil {
		return err
	}
	var last error
	err := Await("the region takes a configuration", limit, func() bool {
		_, last = r.Ctl("config", "set", config)
		return last == nil
	})
	return errors.CombineErrors(err, last)
}

// freePorts returns the first port from start on that count free ports follow.
func freePorts(host string, start, count int) (int, error) {
	const lastPort = 60000
	free := 0
	for port := start; port < lastPort; port++ {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, fmt.Sprint(port)))
		if err != nil {
			free = 0
			continue
		}
		_ = listener.Close()
		free++
		if free == count {
			return port - count + 1, nil
		}
	}
	return 0, errors.Newf("no %d free ports in a row from %d on", count, start)
}

// Start starts every process of the region.
func (r *Region) Start() error {
	var err error
	if r.standin, err = r.launch("standin", "dragonfly-standin", r.Deployment.StandInSettings()); err != nil {
		return err
	}
	for i := range r.Deployment.Entries {
		s := r.Deployment.EntrySettings(i)
		c, err := r.launch(string(s.ID), "dragonfly-entry", s)
		if err != nil {
			return err
		}
		r.Entries = append(r.Entries, c)
	}
	for i := range r.Deployment.Agents {
		s := r.Deployment.AgentSettings(i)
		c, err := r.launch(string(s.ID), "dragonfly-agent", s)
		if err != nil {
			return err
		}
		r.Agents = append(r.Agents, c)
	}
	return nil
}

func (r *Region) launch(name, program string, config any) (*Child, error) {
	encoded, err := yaml.Marshal(config)
	if err != nil {
		return nil, errors.Wrapf(err, "encode settings of %s", name)
	}
	path := filepath.Join(r.Folder, name+".yaml")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(r.Folder, name+".log"))
	if err != nil {
		return nil, err
	}
	c := &Child{Name: name, log: log, exited: make(chan struct{})}
	c.cmd = exec.Command(filepath.Join(r.binaries, program), "--settings", path)
	c.cmd.Stdout, c.cmd.Stderr = log, log
	if err := c.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	go func() {
		c.err = c.cmd.Wait()
		_ = log.Close()
		close(c.exited)
	}()
	return c, nil
}

// PID returns the process's ID.
func (c *Child) PID() int { return c.cmd.Process.Pid }

// Signal sends a signal to the process.
func (c *Child) Signal(s syscall.Signal) { _ = c.cmd.Process.Signal(s) }

// AwaitExit waits for the process's end and returns false when it takes too long.
func (c *Child) AwaitExit(limit time.Duration) bool {
	select {
	case <-c.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// StopAll ends all processes: gracefully first, by force when that takes too long.
func (r *Region) StopAll() {
	const patience = 5 * time.Second
	all := append(append([]*Child{}, r.Agents...), r.Entries...)
	for _, c := range all {
		c.Signal(syscall.SIGTERM)
	}
	deadline := time.Now().Add(patience)
	for _, c := range all {
		if !c.AwaitExit(time.Until(deadline)) {
			c.Signal(syscall.SIGKILL)
			<-c.exited
		}
	}
	if r.standin != nil {
		r.standin.Signal(syscall.SIGKILL)
		<-r.standin.exited
	}
}

// Ctl runs dragonflyctl against all entry hosts and returns its output.
func (r *Region) Ctl(args ...string) (string, error) {
	var all []string
	for i := range r.Deployment.Entries {
		all = append(all, "--entry", r.Deployment.EntryHTTPAddress(i))
	}
	cmd := exec.Command(filepath.Join(r.binaries, "dragonflyctl"), append(all, args...)...)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	if err != nil {
		return out.String(), errors.Wrapf(err, "dragonflyctl %s: %s", strings.Join(args, " "), strings.TrimSpace(errOut.String()))
	}
	return out.String(), nil
}

// Await polls a condition until it holds.
func Await(what string, limit time.Duration, condition func() bool) error {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			return errors.Newf("%s: not within %s", what, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}
