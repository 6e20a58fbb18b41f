package settings

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"dragonflyyard/internal/model"
)

// StandIn is the settings of one process that stands in for the platform in
// tests and in the demo. A service without an address is not served.
type StandIn struct {
	// TableAddress and ObjectStoreAddress (IP:port) serve the platform's services.
	TableAddress       string                 `yaml:"table_address"`
	ObjectStoreAddress string                 `yaml:"object_store_address"`
	BackendServers     []StandInBackendServer `yaml:"backend_servers"`
	Workers            []StandInWorker        `yaml:"workers"`
}

// StandInBackendServer is a backend server that answers after a fixed time.
type StandInBackendServer struct {
	ID      model.BackendServerID `yaml:"id"`
	Address string                `yaml:"address"`
	// ServiceTime is how long a request takes.
	ServiceTime time.Duration `yaml:"service_time"`
}

// StandInWorker is a worker that runs tasks by waiting.
type StandInWorker struct {
	ID       model.WorkerID  `yaml:"id"`
	Address  string          `yaml:"address"`
	Capacity model.Resources `yaml:"capacity"`
}

// Deployment describes a whole region on one machine, from which the settings
// of each process are derived. The demo and the samples use it.
type Deployment struct {
	Region model.RegionName             `yaml:"region"`
	Zones  []model.AvailabilityZoneName `yaml:"zones"`
	// Host is the IP that all processes listen on.
	Host string `yaml:"host"`
	// FirstPort is the first of the ports used: two for the platform's
	// services, two for each entry host and three for each agent.
	FirstPort int `yaml:"first_port"`
	Entries   int `yaml:"entries"`
	// Agents is the number of agents, backend servers and workers alike. They
	// are dealt to the zones in turn.
	Agents      int             `yaml:"agents"`
	Slots       int             `yaml:"slots"`
	Connections int             `yaml:"connections"`
	Worker      model.Resources `yaml:"worker"`
	// WorkersPerRack is how many workers of a zone share a rack.
	WorkersPerRack int `yaml:"workers_per_rack"`
	// ServiceTime is the stand-in backend servers' time for a request.
	ServiceTime time.Duration `yaml:"service_time"`
	// Answers names the questionnaire's answers that the configuration is
	// generated from, relative to this file.
	Answers string `yaml:"answers"`
}

const (
	portsPerEntry    = 2
	portsPerAgent    = 3
	portsForServices = 2
)

// Ports returns how many ports the deployment uses from FirstPort on.
func (d Deployment) Ports() int {
	return portsForServices + portsPerEntry*d.Entries + portsPerAgent*d.Agents
}

func (d Deployment) address(offset int) string {
	return net.JoinHostPort(d.Host, strconv.Itoa(d.FirstPort+offset))
}

// TableAddress returns the address of the table service.
func (d Deployment) TableAddress() string { return d.address(0) }

// ObjectStoreAddress returns the address of the object store.
func (d Deployment) ObjectStoreAddress() string { return d.address(1) }

// EntryHTTPAddress returns the address of entry host i for callers and operators.
func (d Deployment) EntryHTTPAddress(i int) string {
	return d.address(portsForServices + portsPerEntry*i)
}

// EntryLinkAddress returns the address of entry host i for agents and entry hosts.
func (d Deployment) EntryLinkAddress(i int) string {
	return d.address(portsForServices + portsPerEntry*i + 1)
}

func (d Deployment) agentAddress(i, offset int) string {
	return d.address(portsForServices + portsPerEntry*d.Entries + portsPerAgent*i + offset)
}

// AgentHTTPAddress returns the address of agent i for metrics and the time line.
func (d Deployment) AgentHTTPAddress(i int) string { return d.agentAddress(i, 0) }

// BackendServerAddress returns the address of backend server i.
func (d Deployment) BackendServerAddress(i int) string { return d.agentAddress(i, 1) }

// WorkerAddress returns the address of worker i.
func (d Deployment) WorkerAddress(i int) string { return d.agentAddress(i, 2) }

// EntrySettings returns the settings of entry host i, counted from 0.
func (d Deployment) EntrySettings(i int) Entry {
	s := DefaultEntry()
	s.ID = model.EntryID(fmt.Sprintf("%s-entry-%d", d.Region, i+1))
	s.Region = d.Region
	s.Zone = d.Zones[i%len(d.Zones)]
	s.HTTPAddress = d.EntryHTTPAddress(i)
	s.LinkAddress = d.EntryLinkAddress(i)
	for peer := range d.Entries {
		if peer != i {
			s.Peers = append(s.Peers, d.EntryLinkAddress(peer))
		}
	}
	s.TableAddress = d.TableAddress()
	s.ObjectStoreAddress = d.ObjectStoreAddress()
	s.Store.EntryHosts = max(s.Store.EntryHosts, d.Entries)
	return s
}

// AgentSettings returns the settings of agent i, counted from 0.
func (d Deployment) AgentSettings(i int) Agent {
	zone := i % len(d.Zones)
	s := DefaultAgent()
	s.ID = model.BackendServerID(fmt.Sprintf("%s-backend-%d", d.Region, i+1))
	s.Region = d.Region
	s.Zone = d.Zones[zone]
	s.Rack = model.RackID(fmt.Sprintf("%s-rack-%d", s.Zone, i/len(d.Zones)/d.WorkersPerRack+1))
	s.HTTPAddress = d.AgentHTTPAddress(i)
	for entry := range d.Entries {
		s.Entries = append(s.Entries, d.EntryLinkAddress(entry))
	}
	s.BackendServer.Address = d.BackendServerAddress(i)
	s.BackendServer.Slots = d.Slots
	s.BackendServer.Connections = d.Connections
	s.Worker.Address = d.WorkerAddress(i)
	s.Worker.ID = d.workerID(i)
	s.Worker.Capacity = d.Worker
	return s
}

func (d Deployment) workerID(i int) model.WorkerID {
	return model.WorkerID(fmt.Sprintf("%s-worker-%d", d.Region, i+1))
}

// StandInSettings returns the settings of one stand-in process that serves the
// platform's services and all backend servers and workers.
func (d Deployment) StandInSettings() StandIn {
	s := StandIn{TableAddress: d.TableAddress(), ObjectStoreAddress: d.ObjectStoreAddress()}
	for i := range d.Agents {
		s.BackendServers = append(s.BackendServers, StandInBackendServer{
			ID: d.AgentSettings(i).ID, Address: d.BackendServerAddress(i), ServiceTime: d.ServiceTime})
		s.Workers = append(s.Workers, StandInWorker{
			ID: d.workerID(i), Address: d.WorkerAddress(i), Capacity: d.Worker})
	}
	return s
}
