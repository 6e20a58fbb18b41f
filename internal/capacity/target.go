package capacity

// Target is the size that the system has to carry.
const (
	Workers            = 19000
	Accelerators       = 41000
	JobsPerDay         = 20000
	RunningTasks       = 130000
	MaxGang            = 256
	Teams              = 680
	Regions            = 12
	Zones              = 42
	ConfigChangesDay   = 38000
	HostFailuresPerDay = 250
	HostRestartsPerDay = 1800
	SecondsPerDay      = 86400
	// WorkersPerRegion is the mean region, rounded up.
	WorkersPerRegion = (Workers + Regions - 1) / Regions
	// WorkersPerZone is the mean availability zone, rounded up.
	WorkersPerZone = (Workers + Zones - 1) / Zones
	// TasksPerWorker is the mean number of running tasks of a worker, rounded up.
	TasksPerWorker = (RunningTasks + Workers - 1) / Workers
)

// Bounds of control on one node.
const (
	MaxCoreShare      = 0.022
	MaxMemoryBytes    = 256 << 20
	MaxBytesPerSecond = 4096
	// MaxTableWritesPerSecond and MaxTableReadsPerSecond bound the table service for the whole system.
	MaxTableWritesPerSecond = 300
	MaxTableReadsPerSecond  = 2000
)

// Overhead of one message on the wire besides its frame: WebSocket header with
// mask, TCP with timestamps and IPv4 headers.
const (
	webSocketHeaderBytes = 6
	tcpIPHeaderBytes     = 52
	// PacketOverheadBytes is counted once for each message sent alone.
	PacketOverheadBytes = webSocketHeaderBytes + tcpIPHeaderBytes
	// AckBytes is a bare TCP acknowledgement.
	AckBytes = tcpIPHeaderBytes
)
