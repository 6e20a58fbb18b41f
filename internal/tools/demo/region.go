package main

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

// child is one process that the demo started.
type child struct {
	name   string
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{}
	err    error
}

// region is the set of processes of the demo.
type region struct {
	d        settings.Deployment
	binaries string
	folder   string
	standin  *child
	entries  []*child
	agents   []*child
	http     *http.Client
}

func newRegion(d settings.Deployment, binaries, folder string) (*region, error) {
	first, err := freePorts(d.Host, d.FirstPort, d.Ports())
	if err != nil {
		return nil, err
	}
	d.FirstPort = first
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	return &region{d: d, binaries: binaries, folder: folder, http: &http.Client{Transport: transport, Timeout: 15 * time.Second}}, nil
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

// start starts every process of the region.
func (r *region) start() error {
	var err error
	if r.standin, err = r.launch("standin", "dragonfly-standin", r.d.StandInSettings()); err != nil {
		return err
	}
	for i := range r.d.Entries {
		s := r.d.EntrySettings(i)
		c, err := r.launch(string(s.ID), "dragonfly-entry", s)
		if err != nil {
			return err
		}
		r.entries = append(r.entries, c)
	}
	for i := range r.d.Agents {
		s := r.d.AgentSettings(i)
		c, err := r.launch(string(s.ID), "dragonfly-agent", s)
		if err != nil {
			return err
		}
		r.agents = append(r.agents, c)
	}
	return nil
}

func (r *region) launch(name, program string, config any) (*child, error) {
	encoded, err := yaml.Marshal(config)
	if err != nil {
		return nil, errors.Wrapf(err, "encode settings of %s", name)
	}
	path := filepath.Join(r.folder, name+".yaml")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(r.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	c := &child{name: name, log: log, exited: make(chan struct{})}
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

func (c *child) signal(s syscall.Signal) { _ = c.cmd.Process.Signal(s) }

// awaitExit waits for the process's end and returns false when it takes too long.
func (c *child) awaitExit(limit time.Duration) bool {
	select {
	case <-c.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// stopAll ends all processes: gracefully first, by force when that takes too long.
func (r *region) stopAll() {
	const patience = 5 * time.Second
	all := append(append([]*child{}, r.agents...), r.entries...)
	for _, c := range all {
		c.signal(syscall.SIGTERM)
	}
	deadline := time.Now().Add(patience)
	for _, c := range all {
		if !c.awaitExit(time.Until(deadline)) {
			c.signal(syscall.SIGKILL)
			<-c.exited
		}
	}
	if r.standin != nil {
		r.standin.signal(syscall.SIGKILL)
		<-r.standin.exited
	}
}

// ctl runs dragonflyctl against all entry hosts and returns its output.
func (r *region) ctl(args ...string) (string, error) {
	var all []string
	for i := range r.d.Entries {
		all = append(all, "--entry", r.d.EntryHTTPAddress(i))
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

// await polls a condition until it holds.
func await(what string, limit time.Duration, condition func() bool) error {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			return errors.Newf("%s: not within %s", what, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}
