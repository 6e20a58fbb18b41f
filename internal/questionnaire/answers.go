// Package questionnaire turns a team's answers about its work and its
// guarantees into a configuration. Contradictory answers are refused with the
// reason. The answers are asked for one by one or taken from a YAML file.
package questionnaire

import (
	"fmt"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/strictyaml"
)

// Answers are a region's and its client accounts' answers.
type Answers struct {
	Region model.RegionName             `yaml:"region"`
	Zones  []model.AvailabilityZoneName `yaml:"zones"`
	Fleet  Fleet                        `yaml:"fleet"`
	// SurviveZoneLoss asks that all guarantees keep their room when any one
	// availability zone is out.
	SurviveZoneLoss bool `yaml:"survive_zone_loss"`
	// Ranking lists the three figures, the most important one first.
	Ranking  []Figure  `yaml:"ranking"`
	Accounts []Account `yaml:"accounts"`
}

// Fleet describes the region's workers, which are alike and dealt to the zones
// in turn.
type Fleet struct {
	Workers        int             `yaml:"workers"`
	WorkersPerRack int             `yaml:"workers_per_rack"`
	Worker         model.Resources `yaml:"worker"`
}

// Figure names one of the three figures that a deployment is measured by.
type Figure string

// The figures of Ranking.
const (
	FigureCompletionTime   Figure = "completion_time"
	FigureFragmentation    Figure = "fragmentation"
	FigureWorkInZoneChange Figure = "work_in_zone_change"
)

func figures() []Figure {
	return []Figure{FigureCompletionTime, FigureFragmentation, FigureWorkInZoneChange}
}

// Account is one client account's answers.
type Account struct {
	ID model.ClientAccountID `yaml:"id"`
	// Share is the account's share of borrowed capacity relative to the others.
	Share int `yaml:"share"`
	// WaitingRequests bounds the account's waiting requests on each entry host.
	WaitingRequests int    `yaml:"waiting_requests"`
	Work            []Work `yaml:"work"`
}

// Work is one kind of job that an account runs.
type Work struct {
	Name string `yaml:"name"`
	// Tasks is the number of tasks that must run together.
	Tasks        int `yaml:"tasks"`
	Accelerators int `yaml:"accelerators"`
	Cores        int `yaml:"cores"`
	MemoryMB     int `yaml:"memory_mb"`
	// Adjacent says where the tasks may lie: "rack", "zone" or "any".
	Adjacent model.Topology `yaml:"adjacent"`
	// GuaranteedAtOnce is how many such jobs can always run at the same time.
	GuaranteedAtOnce int `yaml:"guaranteed_at_once"`
	// MayBorrow says that the work may also run on capacity that can be reclaimed.
	MayBorrow bool `yaml:"may_borrow"`
	// Urgent work starts within 1.3 s.
	Urgent bool `yaml:"urgent"`
	// RunTime is the longest usual run time of one job.
	RunTime time.Duration `yaml:"run_time"`
	// NeededWithin is the time from submission to deadline; zero means none.
	NeededWithin time.Duration `yaml:"needed_within"`
}

// Shape returns the shape of one job of this work.
func (w Work) Shape() model.Shape {
	return model.Shape{
		Tasks:    w.Tasks,
		PerTask:  model.Resources{Accelerators: w.Accelerators, Cores: w.Cores, MemoryMB: w.MemoryMB},
		Topology: w.Adjacent,
	}
}

// GuaranteeName is the name of the guaranteed shape for an account's work.
func GuaranteeName(a Account, w Work) string { return fmt.Sprintf("%s.%s", a.ID, w.Name) }

// Parse decodes and checks a file of answers. The error is of type
// strictyaml.Problems.
func Parse(name string, data []byte) (Answers, error) {
	var a Answers
	doc, err := strictyaml.Decode(name, data, &a)
	if err != nil {
		return a, err
	}
	return a, locate(doc, Check(a)).OrNil()
}

// locate adds the lines of a document to findings.
func locate(doc *strictyaml.Document, findings []Finding) strictyaml.Problems {
	var problems strictyaml.Problems
	for _, f := range findings {
		problems = append(problems, doc.Problem(f.Key, f.Allowed, "%s", f.Message))
	}
	return problems
}
