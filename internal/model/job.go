package model

import (
	"strconv"
	"time"
)

// MaxGangSize is the largest number of tasks in one gang.
const MaxGangSize = 256

// Topology limits where the tasks of a gang may be placed.
type Topology string

// Topologies of a gang or of a guaranteed shape.
const (
	TopologyAny  Topology = "any"
	TopologyZone Topology = "zone"
	TopologyRack Topology = "rack"
)

// CapacityClass says whether a job runs on guaranteed or on borrowed capacity.
type CapacityClass string

// Capacity classes of a job.
const (
	CapacityGuaranteed CapacityClass = "guaranteed"
	CapacityBorrowed   CapacityClass = "borrowed"
)

// Shape is a gang's form: a number of equal tasks and where they may lie.
type Shape struct {
	Tasks    int       `yaml:"tasks" json:"tasks" codec:"n"`
	PerTask  Resources `yaml:"per_task" json:"per_task" codec:"p"`
	Topology Topology  `yaml:"topology" json:"topology" codec:"t"`
}

// Accelerators returns how many accelerators the whole shape needs.
func (s Shape) Accelerators() int { return s.Tasks * s.PerTask.Accelerators }

// GuaranteedShape is a shape that a client account may claim at any time.
type GuaranteedShape struct {
	Name    string          `yaml:"name" json:"name" codec:"n"`
	Account ClientAccountID `yaml:"account" json:"account" codec:"a"`
	Shape   Shape           `yaml:"shape" json:"shape" codec:"s"`
	// Count is how many of the shape are guaranteed at the same time.
	Count int `yaml:"count" json:"count" codec:"c"`
}

// Job is one gang of equal tasks that an account wants run.
type Job struct {
	ID      JobID           `json:"id" codec:"i"`
	Account ClientAccountID `json:"account" codec:"a"`
	// JobClass groups jobs whose run times resemble each other.
	JobClass string `json:"job_class" codec:"k"`
	Shape    Shape  `json:"shape" codec:"s"`
	// DeclaredRunTime is the submitter's own estimate.
	DeclaredRunTime time.Duration `json:"declared_run_time" codec:"r"`
	// Deadline is when the job should be done; zero means none.
	Deadline  time.Time     `json:"deadline" codec:"d"`
	Submitted time.Time     `json:"submitted" codec:"t"`
	Capacity  CapacityClass `json:"capacity" codec:"c"`
	// Urgent jobs are tried ahead of all others on borrowed capacity.
	Urgent bool `json:"urgent" codec:"u"`
	// CanCheckpoint says that tasks can be stopped without losing their work.
	CanCheckpoint bool `json:"can_checkpoint" codec:"p"`
}

// Task returns the ID of the job's task with the given index.
func (j Job) Task(index int) TaskID {
	return TaskID(string(j.ID) + "/" + strconv.Itoa(index))
}
