// Package settings holds the settings of every program. Settings are YAML
// files, decoded strictly: an unknown key, a missing address, a value out of
// its range and a contradictory pair are refused with file, line, key and the
// allowed values. Durations are written as in "250ms"; sizes are in bytes.
package settings

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/strictyaml"
)

// Links are the limits of connections between the system's own processes.
type Links struct {
	// Heartbeat is the interval between heartbeats.
	Heartbeat time.Duration `yaml:"heartbeat"`
	// Silence is how long a peer may stay unheard before its connection is closed.
	Silence time.Duration `yaml:"silence"`
	// WriteTimeout bounds the write of one batch of frames.
	WriteTimeout time.Duration `yaml:"write_timeout"`
	// DialTimeout bounds the opening of a connection with its greeting.
	DialTimeout time.Duration `yaml:"dial_timeout"`
	// ReconnectMin and ReconnectMax bound the delay between attempts to dial.
	ReconnectMin time.Duration `yaml:"reconnect_min"`
	ReconnectMax time.Duration `yaml:"reconnect_max"`
	// OutgoingMessages and OutgoingBytes bound what waits to be written.
	OutgoingMessages int   `yaml:"outgoing_messages"`
	OutgoingBytes    int64 `yaml:"outgoing_bytes"`
}

// Process holds the settings that entry hosts and agents share.
type Process struct {
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `yaml:"log_level"`
	// TimelineEvents is how many events the process keeps for the time line.
	TimelineEvents int `yaml:"timeline_events"`
	// StopTimeout bounds the graceful stop.
	StopTimeout time.Duration `yaml:"stop_timeout"`
	// DrainDelay is how long an entry host's health check fails before it refuses
	// new requests, so that the balancer sends none.
	DrainDelay time.Duration `yaml:"drain_delay"`
	// ClockSkewBound is the largest difference between any two processes' clocks.
	ClockSkewBound time.Duration `yaml:"clock_skew_bound"`
	// RingCapacity is the room of each ring between two duties.
	RingCapacity int `yaml:"ring_capacity"`
}

// Entry is the settings of an entry host.
type Entry struct {
	ID     model.EntryID              `yaml:"id"`
	Region model.RegionName           `yaml:"region"`
	Zone   model.AvailabilityZoneName `yaml:"zone"`
	// HTTPAddress (IP:port) is where callers, operators and the balancer connect.
	HTTPAddress string `yaml:"http_address"`
	// LinkAddress (IP:port) is where agents and other entry hosts connect.
	LinkAddress string `yaml:"link_address"`
	// Peers are the link addresses of the other entry hosts.
	Peers []string `yaml:"peers"`
	// TableAddress and ObjectStoreAddress (IP:port) are the platform's services.
	TableAddress       string        `yaml:"table_address"`
	ObjectStoreAddress string        `yaml:"object_store_address"`
	Process            Process       `yaml:"process"`
	Limits             EntryLimits   `yaml:"limits"`
	Timeouts           EntryTimeouts `yaml:"timeouts"`
	Links              Links         `yaml:"links"`
	Store              Store         `yaml:"store"`
}

// EntryLimits bounds what an entry host holds.
type EntryLimits struct {
	// MaxRequests bounds the requests held at the same time.
	MaxRequests int `yaml:"max_requests"`
	// MaxQueuedPerAccount bounds an account's waiting requests where its
	// configuration sets no limit.
	MaxQueuedPerAccount int `yaml:"max_queued_per_account"`
	// MaxCallersPerRequest bounds the callers that wait for the same request.
	MaxCallersPerRequest int `yaml:"max_callers_per_request"`
	MaxBodyBytes         int `yaml:"max_body_bytes"`
	MaxAnswerBytes       int `yaml:"max_answer_bytes"`
	// MaxAttempts bounds the dispatches of one idempotent request.
	MaxAttempts int `yaml:"max_attempts"`
	// MaxHTTPConnections bounds the open HTTP connections.
	MaxHTTPConnections int `yaml:"max_http_connections"`
}

// EntryTimeouts are the times after which an entry host gives up or asks again.
type EntryTimeouts struct {
	// Claim is how long a claim waits for the home's reply before it is sent again.
	Claim time.Duration `yaml:"claim"`
	// Probe is how often an executor is asked about an unanswered request.
	Probe time.Duration `yaml:"probe"`
	// Resolve is how long a request whose executor is not connected waits for a connection.
	Resolve time.Duration `yaml:"resolve"`
	// Lease is the length of the region scheduler's lease.
	Lease time.Duration `yaml:"lease"`
	// Permit is how long a start permit is valid.
	Permit time.Duration `yaml:"permit"`
	// HeadRead is the interval between reads of the configuration's head row.
	HeadRead time.Duration `yaml:"head_read"`
	// DefaultDeadline is given to requests without a deadline.
	DefaultDeadline time.Duration `yaml:"default_deadline"`
	// MaxDeadline is the longest deadline that a caller may ask for.
	MaxDeadline time.Duration `yaml:"max_deadline"`
}

// Store bounds an entry host's calls of the platform's services.
type Store struct {
	// Deadline bounds one call.
	Deadline time.Duration `yaml:"deadline"`
	// RegionWritesPerSecond and RegionReadsPerSecond are the share of the
	// platform's rate that the entry hosts of the region have together.
	RegionWritesPerSecond int `yaml:"region_writes_per_second"`
	RegionReadsPerSecond  int `yaml:"region_reads_per_second"`
	// EntryHosts is the largest number of entry hosts in the region; each uses
	// at most its equal share of the rates.
	EntryHosts int `yaml:"entry_hosts"`
}

// Agent is the settings of the process beside a backend server.
type Agent struct {
	ID     model.BackendServerID      `yaml:"id"`
	Region model.RegionName           `yaml:"region"`
	Zone   model.AvailabilityZoneName `yaml:"zone"`
	Rack   model.RackID               `yaml:"rack"`
	// HTTPAddress (IP:port) serves metrics, health and the time line.
	HTTPAddress string `yaml:"http_address"`
	// Entries are the link addresses of the region's entry hosts.
	Entries       []string           `yaml:"entries"`
	BackendServer AgentBackendServer `yaml:"backend_server"`
	Worker        AgentWorker        `yaml:"worker"`
	Process       Process            `yaml:"process"`
	Limits        AgentLimits        `yaml:"limits"`
	Links         Links              `yaml:"links"`
}

// AgentBackendServer describes the backend server beside an agent.
type AgentBackendServer struct {
	// Address (IP:port) is where the backend server takes HTTP requests.
	Address string `yaml:"address"`
	// Slots and Connections bound what the backend server takes at the same time.
	Slots       int `yaml:"slots"`
	Connections int `yaml:"connections"`
	// Timeout bounds one call of the backend server.
	Timeout time.Duration `yaml:"timeout"`
}

// AgentWorker describes the worker beside an agent. An empty address means
// that there is none.
type AgentWorker struct {
	// Address (IP:port) is where the worker takes orders.
	Address  string          `yaml:"address"`
	ID       model.WorkerID  `yaml:"id"`
	Capacity model.Resources `yaml:"capacity"`
	// Poll is the interval at which the worker is asked for its tasks' states.
	Poll time.Duration `yaml:"poll"`
	// Grace is how long a task may take to checkpoint before it is stopped.
	Grace time.Duration `yaml:"grace"`
}

// AgentLimits bounds what an agent remembers.
type AgentLimits struct {
	// Horizon is how long claims and requests are remembered after their ID was minted.
	Horizon time.Duration `yaml:"horizon"`
	// MaxRecords bounds the remembered claims and, apart from them, requests.
	MaxRecords int `yaml:"max_records"`
	// AnswerTTL and MaxAnswerBytes bound the kept answers.
	AnswerTTL      time.Duration `yaml:"answer_ttl"`
	MaxAnswerBytes int           `yaml:"max_answer_bytes"`
	MaxBodyBytes   int           `yaml:"max_body_bytes"`
	// MaxPartialBytes bounds all incomplete bodies together.
	MaxPartialBytes int `yaml:"max_partial_bytes"`
}

// LoadEntry reads and checks an entry host's settings.
func LoadEntry(path string) (Entry, error) { return load(path, ParseEntry) }

// LoadAgent reads and checks an agent's settings.
func LoadAgent(path string) (Agent, error) { return load(path, ParseAgent) }

// LoadStandIn reads and checks the settings of a stand-in process.
func LoadStandIn(path string) (StandIn, error) { return load(path, ParseStandIn) }

// LoadDeployment reads and checks the description of a deployment.
func LoadDeployment(path string) (Deployment, error) { return load(path, ParseDeployment) }

func load[T any](path string, parse func(string, []byte) (T, error)) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var none T
		return none, errors.Wrap(err, "read settings")
	}
	return parse(path, data)
}

// ParseEntry decodes and checks an entry host's settings. The error is of type
// strictyaml.Problems.
func ParseEntry(name string, data []byte) (Entry, error) {
	s := DefaultEntry()
	err := parse(name, data, &s, func(c *checker) { c.entry(&s) })
	return s, err
}

// ParseAgent decodes and checks an agent's settings. The error is of type
// strictyaml.Problems.
func ParseAgent(name string, data []byte) (Agent, error) {
	s := DefaultAgent()
	err := parse(name, data, &s, func(c *checker) { c.agent(&s) })
	return s, err
}

// ParseStandIn decodes and checks the settings of a stand-in process. The
// error is of type strictyaml.Problems.
func ParseStandIn(name string, data []byte) (StandIn, error) {
	var s StandIn
	err := parse(name, data, &s, func(c *checker) { c.standIn(&s) })
	return s, err
}

// ParseDeployment decodes and checks the description of a deployment. The
// error is of type strictyaml.Problems.
func ParseDeployment(name string, data []byte) (Deployment, error) {
	s := DefaultDeployment()
	err := parse(name, data, &s, func(c *checker) { c.deployment(&s) })
	return s, err
}

func parse(name string, data []byte, target any, check func(*checker)) error {
	doc, err := strictyaml.Decode(name, data, target)
	if err != nil {
		return err
	}
	c := &checker{doc: doc}
	check(c)
	return c.problems.OrNil()
}
