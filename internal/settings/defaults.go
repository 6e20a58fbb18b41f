package settings

import "time"

// DefaultLinks returns the limits of connections that are used unless set otherwise.
func DefaultLinks() Links {
	return Links{
		Heartbeat:        500 * time.Millisecond,
		Silence:          2 * time.Second,
		WriteTimeout:     time.Second,
		DialTimeout:      2 * time.Second,
		ReconnectMin:     50 * time.Millisecond,
		ReconnectMax:     2 * time.Second,
		OutgoingMessages: 4096,
		OutgoingBytes:    32 << 20,
	}
}

// DefaultProcess returns the shared settings that are used unless set otherwise.
func DefaultProcess() Process {
	return Process{
		LogLevel:       "info",
		TimelineEvents: 8192,
		StopTimeout:    30 * time.Second,
		DrainDelay:     time.Second,
		ClockSkewBound: 500 * time.Millisecond,
		RingCapacity:   4096,
	}
}

// DefaultEntry returns an entry host's settings without identity and addresses.
func DefaultEntry() Entry {
	return Entry{
		Process: DefaultProcess(),
		Links:   DefaultLinks(),
		Limits: EntryLimits{
			MaxRequests:          4096,
			MaxQueuedPerAccount:  512,
			MaxCallersPerRequest: 8,
			MaxBodyBytes:         4 << 20,
			MaxAnswerBytes:       8 << 20,
			MaxAttempts:          3,
			MaxHTTPConnections:   8192,
		},
		Timeouts: EntryTimeouts{
			Claim:           250 * time.Millisecond,
			Probe:           time.Second,
			Resolve:         5 * time.Second,
			Lease:           4 * time.Second,
			Permit:          2 * time.Second,
			HeadRead:        250 * time.Millisecond,
			DefaultDeadline: 30 * time.Second,
			MaxDeadline:     10 * time.Minute,
		},
		Store: Store{
			Deadline:              time.Second,
			RegionWritesPerSecond: 200,
			RegionReadsPerSecond:  1000,
			EntryHosts:            8,
		},
	}
}

// DefaultAgent returns an agent's settings without identity and addresses.
func DefaultAgent() Agent {
	return Agent{
		Process: DefaultProcess(),
		Links:   DefaultLinks(),
		BackendServer: AgentBackendServer{
			Slots:       8,
			Connections: 64,
			Timeout:     30 * time.Second,
		},
		Worker: AgentWorker{
			Poll:  250 * time.Millisecond,
			Grace: 2 * time.Second,
		},
		Limits: AgentLimits{
			Horizon:         5 * time.Minute,
			MaxRecords:      200_000,
			AnswerTTL:       time.Minute,
			MaxAnswerBytes:  64 << 20,
			MaxBodyBytes:    8 << 20,
			MaxPartialBytes: 32 << 20,
		},
	}
}

// DefaultDeployment returns a deployment's sizes without names.
func DefaultDeployment() Deployment {
	return Deployment{
		Host:           "127.0.0.1",
		FirstPort:      21000,
		Entries:        3,
		Agents:         11,
		Slots:          8,
		Connections:    64,
		WorkersPerRack: 3,
		ServiceTime:    5 * time.Millisecond,
	}
}
