package settings

import (
	"fmt"
	"strings"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/permit"
	"dragonflyyard/internal/strictyaml"
)

// checker collects what is wrong with decoded settings.
type checker struct {
	doc      *strictyaml.Document
	problems strictyaml.Problems
}

func (c *checker) report(key, allowed, format string, args ...any) {
	c.problems = append(c.problems, c.doc.Problem(key, allowed, format, args...))
}

// intRange checks a whole number, with both bounds allowed.
func (c *checker) intRange(key string, value, low, high int) {
	if value < low || value > high {
		c.report(key, fmt.Sprintf("%d to %d", low, high), "%d is out of range", value)
	}
}

// durationRange checks a duration, with both bounds allowed.
// positiveUpTo checks a number above zero.
func (c *checker) positiveUpTo(key string, value, high float64) {
	if !(value > 0 && value <= high) {
		c.report(key, fmt.Sprintf("above 0 and at most %g", high), "%g is out of range", value)
	}
}

func (c *checker) durationRange(key string, value, low, high time.Duration) {
	if value < low || value > high {
		c.report(key, fmt.Sprintf("%s to %s", low, high), "%s is out of range", value)
	}
}

const maxNameBytes = 64

// name checks an identifier.
func (c *checker) name(key, value string) {
	ok := value != "" && len(value) <= maxNameBytes
	for _, r := range value {
		ok = ok && (r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.')
	}
	if !ok {
		c.report(key, fmt.Sprintf("1 to %d letters, digits, '-', '_' or '.'", maxNameBytes), "%q is not a name", value)
	}
}

// below checks that one duration is shorter than another.
func (c *checker) below(key string, value time.Duration, otherKey string, other time.Duration) {
	if value >= other {
		c.report(key, "less than "+otherKey, "%s contradicts %s of %s", value, otherKey, other)
	}
}

// atMost checks that one number is at most another.
func (c *checker) atMost(key string, value int, otherKey string, other int) {
	if value > other {
		c.report(key, "at most "+otherKey, "%d contradicts %s of %d", value, otherKey, other)
	}
}

const (
	maxSlots          = 1024
	maxConnections    = 65536
	maxAccelerators   = 64
	maxCores          = 4096
	maxMemoryMB       = 64 << 20
	maxDuration       = time.Hour
	minDuration       = time.Millisecond
	maxBytes          = 1 << 30
	maxRecords        = 10_000_000
	maxRequests       = 1 << 20
	maxEntryHosts     = 64
	platformWrites    = 500
	platformReads     = 2000
	longestGrace      = 3 * time.Second
	longestSkew       = 5 * time.Second
	maxAgentsOnAHost  = 64
	maxDeploymentZone = 42
)

func (c *checker) resources(key string, r model.Resources) {
	c.intRange(key+".accelerators", r.Accelerators, 0, maxAccelerators)
	c.intRange(key+".cores", r.Cores, 1, maxCores)
	c.intRange(key+".memory_mb", r.MemoryMB, 1, maxMemoryMB)
}

// level checks the level of the log.
func (c *checker) level(key, value string) {
	switch value {
	case "debug", "info", "warn", "error":
	default:
		c.report(key, "debug, info, warn, error", "%q is not a level", value)
	}
}

func (c *checker) process(p *Process) {
	c.level("process.log_level", p.LogLevel)
	c.intRange("process.timeline_events", p.TimelineEvents, 16, 1<<20)
	c.durationRange("process.stop_timeout", p.StopTimeout, time.Second, maxDuration)
	c.durationRange("process.drain_delay", p.DrainDelay, 0, time.Minute)
	c.below("process.drain_delay", p.DrainDelay, "process.stop_timeout", p.StopTimeout)
	c.durationRange("process.clock_skew_bound", p.ClockSkewBound, minDuration, longestSkew)
	c.intRange("process.ring_capacity", p.RingCapacity, 16, 1<<20)
}

func (c *checker) links(l *Links) {
	c.durationRange("links.heartbeat", l.Heartbeat, 10*time.Millisecond, 10*time.Second)
	c.durationRange("links.silence", l.Silence, 30*time.Millisecond, time.Minute)
	c.durationRange("links.write_timeout", l.WriteTimeout, 10*time.Millisecond, time.Minute)
	c.durationRange("links.dial_timeout", l.DialTimeout, 10*time.Millisecond, time.Minute)
	c.durationRange("links.reconnect_min", l.ReconnectMin, minDuration, time.Minute)
	c.durationRange("links.reconnect_max", l.ReconnectMax, minDuration, time.Minute)
	c.intRange("links.outgoing_messages", l.OutgoingMessages, 16, 1<<20)
	c.intRange("links.outgoing_bytes", int(l.OutgoingBytes), 2<<20, maxBytes)
	c.below("links.heartbeat", 2*l.Heartbeat, "links.silence", l.Silence+1)
	c.below("links.reconnect_min", l.ReconnectMin, "links.reconnect_max", l.ReconnectMax+1)
}

func (c *checker) entry(s *Entry) {
	c.name("id", string(s.ID))
	c.name("region", string(s.Region))
	c.name("zone", string(s.Zone))
	c.address("http_address", s.HTTPAddress)
	c.address("link_address", s.LinkAddress)
	c.addresses("peers", s.Peers, 0, maxEntryHosts-1)
	c.address("table_address", s.TableAddress)
	c.address("object_store_address", s.ObjectStoreAddress)
	keys := []string{"http_address", "link_address", "table_address", "object_store_address"}
	values := []string{s.HTTPAddress, s.LinkAddress, s.TableAddress, s.ObjectStoreAddress}
	c.distinct(keys, values)
	for i, peer := range s.Peers {
		if peer == s.LinkAddress {
			c.report(fmt.Sprintf("peers[%d]", i), "the other entry hosts", "%q is this entry host's own link_address", peer)
		}
	}
	c.process(&s.Process)
	c.links(&s.Links)
	c.entryLimits(&s.Limits)
	c.entryTimeouts(&s.Timeouts)
	c.store(s)
}

func (c *checker) entryLimits(l *EntryLimits) {
	c.intRange("limits.max_requests", l.MaxRequests, 1, maxRequests)
	c.intRange("limits.max_queued_per_account", l.MaxQueuedPerAccount, 1, maxRequests)
	c.intRange("limits.max_callers_per_request", l.MaxCallersPerRequest, 1, 1024)
	c.intRange("limits.max_body_bytes", l.MaxBodyBytes, 1, maxBytes)
	c.intRange("limits.max_answer_bytes", l.MaxAnswerBytes, 1, maxBytes)
	c.intRange("limits.max_attempts", l.MaxAttempts, 1, 10)
	c.intRange("limits.max_http_connections", l.MaxHTTPConnections, 1, 1<<20)
	c.atMost("limits.max_queued_per_account", l.MaxQueuedPerAccount, "limits.max_requests", l.MaxRequests)
}

func (c *checker) entryTimeouts(t *EntryTimeouts) {
	c.durationRange("timeouts.claim", t.Claim, minDuration, time.Minute)
	c.durationRange("timeouts.probe", t.Probe, minDuration, time.Minute)
	c.durationRange("timeouts.resolve", t.Resolve, minDuration, 10*time.Minute)
	c.durationRange("timeouts.lease", t.Lease, 500*time.Millisecond, time.Minute)
	c.durationRange("timeouts.permit", t.Permit, 100*time.Millisecond, permit.LongestValidity)
	c.durationRange("timeouts.head_read", t.HeadRead, 10*time.Millisecond, 5*time.Second)
	c.durationRange("timeouts.default_deadline", t.DefaultDeadline, minDuration, maxDuration)
	c.durationRange("timeouts.max_deadline", t.MaxDeadline, minDuration, maxDuration)
	c.below("timeouts.head_read", t.HeadRead, "timeouts.permit", t.Permit)
	c.below("timeouts.default_deadline", t.DefaultDeadline, "timeouts.max_deadline", t.MaxDeadline+1)
	c.below("timeouts.claim", t.Claim, "timeouts.resolve", t.Resolve+1)
}

func (c *checker) store(s *Entry) {
	c.durationRange("store.deadline", s.Store.Deadline, minDuration, time.Minute)
	c.intRange("store.region_writes_per_second", s.Store.RegionWritesPerSecond, 1, platformWrites)
	c.intRange("store.region_reads_per_second", s.Store.RegionReadsPerSecond, 1, platformReads)
	c.intRange("store.entry_hosts", s.Store.EntryHosts, 1, maxEntryHosts)
	c.below("store.deadline", s.Store.Deadline, "timeouts.lease", s.Timeouts.Lease)
	c.atMost("store.entry_hosts", s.Store.EntryHosts, "store.region_writes_per_second", s.Store.RegionWritesPerSecond)
	if len(s.Peers)+1 > s.Store.EntryHosts {
		c.report("store.entry_hosts", "at least the number of peers and this host",
			"%d contradicts %d peers", s.Store.EntryHosts, len(s.Peers))
	}
}

func (c *checker) agent(s *Agent) {
	c.name("id", string(s.ID))
	c.name("region", string(s.Region))
	c.name("zone", string(s.Zone))
	c.name("rack", string(s.Rack))
	c.address("http_address", s.HTTPAddress)
	c.addresses("entries", s.Entries, 1, maxEntryHosts)
	keys := []string{"http_address", "backend_server.address", "worker.address"}
	c.distinct(keys, []string{s.HTTPAddress, s.BackendServer.Address, s.Worker.Address})
	c.address("backend_server.address", s.BackendServer.Address)
	c.intRange("backend_server.slots", s.BackendServer.Slots, 1, maxSlots)
	c.intRange("backend_server.connections", s.BackendServer.Connections, 1, maxConnections)
	c.atMost("backend_server.slots", s.BackendServer.Slots, "backend_server.connections", s.BackendServer.Connections)
	c.durationRange("backend_server.timeout", s.BackendServer.Timeout, minDuration, maxDuration)
	c.worker(&s.Worker)
	c.process(&s.Process)
	c.links(&s.Links)
	c.agentLimits(&s.Limits)
}

func (c *checker) worker(w *AgentWorker) {
	if w.Address == "" {
		if w.ID != "" || w.Capacity != (model.Resources{}) {
			c.report("worker.address", addressForm, "the worker has an ID or a capacity but no address")
		}
		return
	}
	c.address("worker.address", w.Address)
	c.name("worker.id", string(w.ID))
	c.resources("worker.capacity", w.Capacity)
	c.durationRange("worker.poll", w.Poll, 10*time.Millisecond, 10*time.Second)
	c.durationRange("worker.grace", w.Grace, 0, longestGrace)
}

func (c *checker) agentLimits(l *AgentLimits) {
	c.durationRange("limits.horizon", l.Horizon, time.Second, 24*time.Hour)
	c.intRange("limits.max_records", l.MaxRecords, 1, maxRecords)
	c.durationRange("limits.answer_ttl", l.AnswerTTL, time.Second, 24*time.Hour)
	c.intRange("limits.max_answer_bytes", l.MaxAnswerBytes, 1, maxBytes)
	c.intRange("limits.max_body_bytes", l.MaxBodyBytes, 1, maxBytes)
	c.intRange("limits.max_partial_bytes", l.MaxPartialBytes, 1, maxBytes)
	c.below("limits.answer_ttl", l.AnswerTTL, "limits.horizon", l.Horizon+1)
	c.atMost("limits.max_body_bytes", l.MaxBodyBytes, "limits.max_partial_bytes", l.MaxPartialBytes)
}

func (c *checker) standIn(s *StandIn) {
	var keys, values []string
	add := func(key, value string) {
		c.address(key, value)
		keys = append(keys, key)
		values = append(values, value)
	}
	if s.TableAddress != "" {
		add("table_address", s.TableAddress)
	}
	if s.ObjectStoreAddress != "" {
		add("object_store_address", s.ObjectStoreAddress)
	}
	for i, b := range s.BackendServers {
		key := fmt.Sprintf("backend_servers[%d]", i)
		c.name(key+".id", string(b.ID))
		add(key+".address", b.Address)
		c.durationRange(key+".service_time", b.ServiceTime, 0, time.Minute)
	}
	for i, w := range s.Workers {
		key := fmt.Sprintf("workers[%d]", i)
		c.name(key+".id", string(w.ID))
		add(key+".address", w.Address)
		c.resources(key+".capacity", w.Capacity)
	}
	if len(values) == 0 {
		c.report("", "at least one address", "the stand-in serves nothing")
	}
	c.distinct(keys, values)
}

func (c *checker) deployment(d *Deployment) {
	c.name("region", string(d.Region))
	if len(d.Zones) == 0 || len(d.Zones) > maxDeploymentZone {
		c.report("zones", fmt.Sprintf("1 to %d zones", maxDeploymentZone), "%d zones are given", len(d.Zones))
	}
	seen := map[string]bool{}
	for i, zone := range d.Zones {
		key := fmt.Sprintf("zones[%d]", i)
		c.name(key, string(zone))
		if seen[strings.ToLower(string(zone))] {
			c.report(key, "", "zone %q is listed twice", zone)
		}
		seen[strings.ToLower(string(zone))] = true
	}
	c.host("host", d.Host)
	c.intRange("entries", d.Entries, 1, maxEntryHosts)
	c.intRange("agents", d.Agents, 1, maxAgentsOnAHost)
	c.intRange("first_port", d.FirstPort, 1024, 65536-d.Ports())
	c.intRange("slots", d.Slots, 1, maxSlots)
	c.intRange("connections", d.Connections, 1, maxConnections)
	c.atMost("slots", d.Slots, "connections", d.Connections)
	c.resources("worker", d.Worker)
	c.intRange("workers_per_rack", d.WorkersPerRack, 1, maxAgentsOnAHost)
	c.durationRange("service_time", d.ServiceTime, 0, time.Minute)
}
