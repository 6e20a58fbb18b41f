package settings

import (
	"time"

	"dragonflyyard/internal/intake"
	"dragonflyyard/internal/model"
)

// DeployedEntry is the settings of an entry host on a deployment of the platform.
type DeployedEntry struct {
	Host   model.EntryID              `yaml:"host"`
	Region model.RegionName           `yaml:"region"`
	Zone   model.AvailabilityZoneName `yaml:"zone"`
	// CallersAddress and ReadinessAddress (IP:port) are where callers and the
	// balancer connect.
	CallersAddress   string `yaml:"callers_address"`
	ReadinessAddress string `yaml:"readiness_address"`
	// MetricsAddress (IP:port) serves counters and histograms as text.
	MetricsAddress string `yaml:"metrics_address"`
	// RelayAddress (IP:port) is where other processes reach the store through
	// this one.
	RelayAddress string `yaml:"relay_address"`
	// StoreAddress (IP:port) is the platform's store.
	StoreAddress string `yaml:"store_address"`
	// StopGrace is how long after SIGTERM the platform kills the process.
	StopGrace time.Duration `yaml:"stop_grace"`
	// Cores and LinkMbps are the host's share of a processor and its network link;
	// a host that knows a much stronger one leaves the scheduler to it.
	Cores    float64 `yaml:"cores"`
	LinkMbps float64 `yaml:"link_mbps"`
	// LearnWorkerSpeeds is set if the scheduler learns from runs how fast each worker is,
	// and places tasks by it.
	LearnWorkerSpeeds bool `yaml:"learn_worker_speeds"`
	// FairShares orders work below urgent by what its account is due beside others; see
	// package fairshare.
	FairShares bool `yaml:"fair_shares"`
	// SeparateDisturbingTasks keeps tasks that were seen to slow each other down on
	// different workers where there is room. Without such evidence it has no effect.
	SeparateDisturbingTasks bool `yaml:"separate_disturbing_tasks"`
	// MemoryMB (2^20 bytes) and FileDescriptors are what the process may use.
	MemoryMB        int    `yaml:"memory_mb"`
	FileDescriptors int    `yaml:"file_descriptors"`
	LogLevel        string `yaml:"log_level"`
}

// DeployedAgent is the settings of an agent on a deployment of the platform.
type DeployedAgent struct {
	Host   string                     `yaml:"host"`
	Region model.RegionName           `yaml:"region"`
	Zone   model.AvailabilityZoneName `yaml:"zone"`
	// ControlAddress (IP:port) is where the worker registers, and WorkerAddress
	// where it takes orders.
	ControlAddress string `yaml:"control_address"`
	WorkerAddress  string `yaml:"worker_address"`
	MetricsAddress string `yaml:"metrics_address"`
	StoreAddress   string `yaml:"store_address"`
	// PushAddress (IP:port) is where the scheduler sends orders directly.
	PushAddress string `yaml:"push_address"`
	// StopGrace is how long after SIGTERM the platform kills the process.
	StopGrace time.Duration `yaml:"stop_grace"`
	// LongestLease is the longest lease that a worker accepts.
	LongestLease time.Duration `yaml:"longest_lease"`
	// MemoryMB (2^20 bytes) and FileDescriptors are what the process may use.
	MemoryMB        int    `yaml:"memory_mb"`
	FileDescriptors int    `yaml:"file_descriptors"`
	LogLevel        string `yaml:"log_level"`
}

// Bounds of the times of a deployment.
const (
	shortestStopGrace = time.Second
	shortestLease     = 2 * time.Second
	mostCores         = 1024
	mostLinkMbps      = 1e6
	leastMemoryMB     = 32
	mostMemoryMB      = 1 << 20
	leastDescriptors  = 64
	mostDescriptors   = 1 << 20
)

// LoadDeployedEntry reads and checks the settings of a deployed entry host.
func LoadDeployedEntry(path string) (DeployedEntry, error) { return load(path, ParseDeployedEntry) }

// LoadDeployedAgent reads and checks the settings of a deployed agent.
func LoadDeployedAgent(path string) (DeployedAgent, error) { return load(path, ParseDeployedAgent) }

// ParseDeployedEntry decodes and checks the settings of a deployed entry host.
// The error is of type strictyaml.Problems.
func ParseDeployedEntry(name string, data []byte) (DeployedEntry, error) {
	s := DeployedEntry{StopGrace: 6 * time.Second, Cores: 1, LinkMbps: 1000, SeparateDisturbingTasks: true, MemoryMB: intake.DefaultMemoryMB, FileDescriptors: intake.DefaultDescriptors, LogLevel: "info"}
	err := parse(name, data, &s, func(c *checker) {
		c.name("host", string(s.Host))
		c.name("region", string(s.Region))
		c.name("zone", string(s.Zone))
		c.address("callers_address", s.CallersAddress)
		c.address("readiness_address", s.ReadinessAddress)
		c.address("metrics_address", s.MetricsAddress)
		c.address("relay_address", s.RelayAddress)
		c.address("store_address", s.StoreAddress)
		c.durationRange("stop_grace", s.StopGrace, shortestStopGrace, time.Minute)
		c.positiveUpTo("cores", s.Cores, mostCores)
		c.positiveUpTo("link_mbps", s.LinkMbps, mostLinkMbps)
		c.machine(s.MemoryMB, s.FileDescriptors)
		c.level("log_level", s.LogLevel)
	})
	return s, err
}

// ParseDeployedAgent decodes and checks the settings of a deployed agent. The
// error is of type strictyaml.Problems.
func ParseDeployedAgent(name string, data []byte) (DeployedAgent, error) {
	s := DeployedAgent{StopGrace: 6 * time.Second, LongestLease: 10 * time.Second, MemoryMB: intake.DefaultMemoryMB, FileDescriptors: intake.DefaultDescriptors, LogLevel: "info"}
	err := parse(name, data, &s, func(c *checker) {
		c.name("host", s.Host)
		c.name("region", string(s.Region))
		c.name("zone", string(s.Zone))
		c.address("control_address", s.ControlAddress)
		c.address("worker_address", s.WorkerAddress)
		c.address("metrics_address", s.MetricsAddress)
		c.address("store_address", s.StoreAddress)
		c.address("push_address", s.PushAddress)
		c.durationRange("stop_grace", s.StopGrace, shortestStopGrace, time.Minute)
		c.durationRange("longest_lease", s.LongestLease, shortestLease, time.Minute)
		c.machine(s.MemoryMB, s.FileDescriptors)
		c.level("log_level", s.LogLevel)
	})
	return s, err
}

// machine checks the limits of the machine.
func (c *checker) machine(memoryMB, descriptors int) {
	c.intRange("memory_mb", memoryMB, leastMemoryMB, mostMemoryMB)
	c.intRange("file_descriptors", descriptors, leastDescriptors, mostDescriptors)
}
