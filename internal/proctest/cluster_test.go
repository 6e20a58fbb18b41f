package proctest

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// limit is the generous bound on every wait of these tests.
const limit = 30 * time.Second

// account is the client account of the test requests.
const account = "cheese"

var zones = []string{"caruaru", "garanhuns", "quixada"}

// proc is one process under test.
type proc struct {
	name     string
	cmd      *exec.Cmd
	settings string
	http     string
	link     string
	// backend and worker are the addresses of an agent's stand-ins.
	backend, worker string
	output          *lockedBuffer
	exited          chan struct{}
}

// lockedBuffer collects the output of a process.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) tail() string {
	const size = 4 << 10
	b.mu.Lock()
	defer b.mu.Unlock()
	text := b.buf.String()
	return text[max(0, len(text)-size):]
}

// cluster is a set of processes of one region.
type cluster struct {
	t   testing.TB
	dir string
	// logLevel is that of all processes; the settings' default where it is empty.
	logLevel string
	standin  *proc
	entries  []*proc
	agents   []*proc
	client   *http.Client
}

// startCluster starts the stand-ins, entry hosts and agents, and waits until
// each entry host is connected to each agent.
func startCluster(t testing.TB, entries, agents int, serviceTime time.Duration) *cluster {
	t.Helper()
	return startClusterAt(t, "", entries, agents, serviceTime)
}

// startClusterAt starts a cluster with a log level.
func startClusterAt(t testing.TB, logLevel string, entries, agents int, serviceTime time.Duration) *cluster {
	t.Helper()
	c := newCluster(t, logLevel, entries, agents, serviceTime)
	c.start(c.standin, "dragonfly-standin")
	for _, p := range c.entries {
		c.start(p, "dragonfly-entry")
	}
	for _, p := range c.agents {
		c.start(p, "dragonfly-agent")
	}
	c.awaitReady()
	return c
}

// newCluster writes the settings of a cluster and starts nothing.
func newCluster(t testing.TB, logLevel string, entries, agents int, serviceTime time.Duration) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), logLevel: logLevel, client: &http.Client{
		Timeout:   limit,
		Transport: &http.Transport{MaxIdleConnsPerHost: 256},
	}}
	ports := reservePorts(t, 2+2*entries+3*agents)
	table, objects := ports[0], ports[1]
	ports = ports[2:]
	for i := range entries {
		c.entries = append(c.entries, &proc{
			name: fmt.Sprintf("entry-%d", i+1), http: ports[2*i], link: ports[2*i+1],
		})
	}
	ports = ports[2*entries:]
	for i := range agents {
		c.agents = append(c.agents, &proc{
			name: fmt.Sprintf("backend-%d", i+1), http: ports[3*i], backend: ports[3*i+1], worker: ports[3*i+2],
		})
	}
	c.writeStandIn(table, objects, serviceTime)
	for i, p := range c.entries {
		c.writeEntry(p, zones[i%len(zones)], table, objects)
	}
	for i, p := range c.agents {
		c.writeAgent(p, i)
	}
	return c
}

// firstPort and portCount bound the ports of the clusters' processes. They lie
// below those that the kernel gives to connections, so that none of these takes
// a port between its choice and the start of the process that listens on it.
const (
	firstPort = 23_000
	portCount = 9_000
)

// portsUsed is how many ports the clusters of this test process tried so far.
var portsUsed int

// reservePorts returns addresses with ports that are free. Test processes begin
// at different ports.
func reservePorts(t testing.TB, count int) []string {
	t.Helper()
	var addresses []string
	for tries := 0; len(addresses) < count; tries++ {
		if tries == portCount {
			t.Fatal("no free ports are left")
		}
		const portsOfOneProcess = 97
		port := firstPort + (os.Getpid()*portsOfOneProcess+portsUsed)%portCount
		portsUsed++
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, address)
	}
	return addresses
}

func (c *cluster) writeSettings(p *proc, text string) {
	p.settings = filepath.Join(c.dir, p.name+".yaml")
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) writeStandIn(table, objects string, serviceTime time.Duration) {
	c.standin = &proc{name: "standin", http: table}
	var text strings.Builder
	fmt.Fprintf(&text, "table_address: %s\nobject_store_address: %s\nbackend_servers:\n", table, objects)
	for _, p := range c.agents {
		fmt.Fprintf(&text, "  - {id: %s, address: '%s', service_time: %s}\n", p.name, p.backend, serviceTime)
	}
	text.WriteString("workers:\n")
	for _, p := range c.agents {
		fmt.Fprintf(&text, "  - {id: w-%s, address: '%s', capacity: {accelerators: 8, cores: 64, memory_mb: 131072}}\n", p.name, p.worker)
	}
	c.writeSettings(c.standin, text.String())
}

func (c *cluster) writeEntry(p *proc, zone, table, objects string) {
	var peers []string
	for _, other := range c.entries {
		if other != p {
			peers = append(peers, "'"+other.link+"'")
		}
	}
	c.writeSettings(p, fmt.Sprintf(`id: %s
region: nordeste
zone: %s
http_address: %s
link_address: %s
peers: [%s]
table_address: %s
object_store_address: %s
%s`, p.name, zone, p.http, p.link, strings.Join(peers, ", "), table, objects, c.processSettings()))
}

func (c *cluster) writeAgent(p *proc, index int) {
	var entries []string
	for _, entry := range c.entries {
		entries = append(entries, "'"+entry.link+"'")
	}
	c.writeSettings(p, fmt.Sprintf(`id: %s
region: nordeste
zone: %s
rack: rack-%d
http_address: %s
entries: [%s]
backend_server:
  address: %s
  slots: 8
  connections: 64
worker:
  address: %s
  id: w-%s
  capacity: {accelerators: 8, cores: 64, memory_mb: 131072}
%s`, p.name, zones[index%len(zones)], index/3, p.http, strings.Join(entries, ", "), p.backend, p.worker, p.name, c.processSettings()))
}

// processSettings returns the settings that all processes share.
func (c *cluster) processSettings() string {
	if c.logLevel == "" {
		return ""
	}
	return "process: {log_level: " + c.logLevel + "}\n"
}

// start starts a process; it is killed at the end of the test if it still runs.
func (c *cluster) start(p *proc, program string) {
	c.t.Helper()
	p.output = &lockedBuffer{}
	p.cmd = exec.Command(filepath.Join(binaries, program), "--settings", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	if err := p.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	exited := make(chan struct{})
	p.exited = exited
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	c.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-exited
		if c.t.Failed() {
			c.t.Logf("last output of %s:\n%s", p.name, p.output.tail())
		}
	})
	if program != "dragonfly-standin" {
		c.await(p.name+" to be healthy", func() bool { return c.status(p.http, "/healthz") == http.StatusOK })
		return
	}
	c.await("the stand-in", func() bool { return c.status(p.http, "/stats") == http.StatusOK })
}

// signal sends a signal to a process.
func (c *cluster) signal(p *proc, signal syscall.Signal) {
	c.t.Helper()
	if err := p.cmd.Process.Signal(signal); err != nil {
		c.t.Fatalf("signal %v to %s: %v", signal, p.name, err)
	}
}

// awaitExit waits until a process has ended and returns its exit code.
func (c *cluster) awaitExit(p *proc) int {
	c.t.Helper()
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(2 * limit):
		c.t.Fatalf("%s did not end", p.name)
		return -1
	}
}

// await polls a condition until it holds.
func (c *cluster) await(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("waited in vain for %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// awaitReady waits until each entry host answers a request and is connected to
// each agent.
func (c *cluster) awaitReady() {
	c.t.Helper()
	for _, entry := range c.entries {
		for _, agent := range c.agents {
			c.await(entry.name+" to know "+agent.name, func() bool { return c.linked(entry, agent.name) })
		}
		c.await(entry.name+" to answer", func() bool {
			return c.post(entry, newRequest(false)).Status == http.StatusOK
		})
	}
}

// linked reports whether an entry host's time line says that a connection to a
// process is open.
func (c *cluster) linked(p *proc, peer string) bool {
	open := false
	for _, e := range c.timeline(p, "") {
		if e.Subject != peer {
			continue
		}
		switch e.Code {
		case codeLinkOpened:
			open = true
		case codeLinkLost:
			open = false
		}
	}
	return open
}
