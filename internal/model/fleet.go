package model

// Resources is an amount of a worker's capacity.
type Resources struct {
	Accelerators int `yaml:"accelerators" json:"accelerators" codec:"a"`
	Cores        int `yaml:"cores" json:"cores" codec:"c"`
	MemoryMB     int `yaml:"memory_mb" json:"memory_mb" codec:"m"`
}

// Fits reports whether r is at most capacity in every dimension.
func (r Resources) Fits(capacity Resources) bool {
	return r.Accelerators <= capacity.Accelerators && r.Cores <= capacity.Cores && r.MemoryMB <= capacity.MemoryMB
}

// Add returns the sum of two amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Accelerators + o.Accelerators, r.Cores + o.Cores, r.MemoryMB + o.MemoryMB}
}

// Sub returns r less o. A dimension may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Accelerators - o.Accelerators, r.Cores - o.Cores, r.MemoryMB - o.MemoryMB}
}

// Worker is one machine that runs tasks.
type Worker struct {
	ID       WorkerID             `json:"id" codec:"i"`
	Zone     AvailabilityZoneName `json:"zone" codec:"z"`
	Rack     RackID               `json:"rack" codec:"r"`
	Capacity Resources            `json:"capacity" codec:"c"`
}

// BackendServer is a server that answers requests. Its agent announces it.
type BackendServer struct {
	ID          BackendServerID      `json:"id" codec:"i"`
	Zone        AvailabilityZoneName `json:"zone" codec:"z"`
	Slots       int                  `json:"slots" codec:"s"`
	Connections int                  `json:"connections" codec:"c"`
}

// ZoneState says whether tasks may start in an availability zone.
type ZoneState string

// States of an availability zone.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)
