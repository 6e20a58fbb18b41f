// Package estimate predicts how long jobs run. Declared run times are often far
// off, so the predictor learns from the jobs of the same client account and job
// class that ended before.
package estimate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dragonflyyard/internal/model"
)

// minSamples is how many ended jobs of a class outweigh the declaration.
const minSamples = 2

// memory is the number of samples after which older ones fade.
const memory = 32

// Key names the jobs that are taken to resemble each other.
type Key struct {
	Account  model.ClientAccountID
	JobClass string
}

// Samples are what is known of one key. Means and variances are of natural
// logarithms, so that a factor too long weighs as much as a factor too short.
type Samples struct {
	Key Key
	// Count is the number of ended jobs, at most the predictor's memory.
	Count int
	// RunMean and RunVariance describe the run time in seconds.
	RunMean     float64
	RunVariance float64
	// RatioMean and RatioVariance describe run time over declared run time.
	RatioMean     float64
	RatioVariance float64
}

// Predictor learns run times. It is not safe for concurrent use.
type Predictor struct {
	samples map[Key]*Samples
}

// NewPredictor returns a predictor that has seen nothing, or what state holds.
func NewPredictor(state []Samples) *Predictor {
	p := &Predictor{samples: map[Key]*Samples{}}
	for _, s := range state {
		p.samples[s.Key] = &s
	}
	return p
}

// State returns what the predictor learned, sorted by key.
func (p *Predictor) State() []Samples {
	out := make([]Samples, 0, len(p.samples))
	for _, s := range p.samples {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b Samples) int {
		return cmp.Or(cmp.Compare(a.Key.Account, b.Key.Account), cmp.Compare(a.Key.JobClass, b.Key.JobClass))
	})
	return out
}

// Observe learns from a job that ran to its end.
func (p *Predictor) Observe(job model.Job, ran time.Duration) {
	if ran <= 0 {
		return
	}
	key := Key{job.Account, job.JobClass}
	s := p.samples[key]
	if s == nil {
		s = &Samples{Key: key}
		p.samples[key] = s
	}
	s.Count = min(s.Count+1, memory)
	rate := 1 / float64(s.Count)
	run := math.Log(ran.Seconds())
	update(&s.RunMean, &s.RunVariance, run, rate)
	if job.DeclaredRunTime > 0 {
		update(&s.RatioMean, &s.RatioVariance, run-math.Log(job.DeclaredRunTime.Seconds()), rate)
	}
}

func update(mean, variance *float64, x, rate float64) {
	diff := x - *mean
	*mean += rate * diff
	*variance = (1 - rate) * (*variance + rate*diff*diff)
}

// Predict returns the expected run time of a job: from the run times of its
// class, or from its declaration corrected by the class's usual factor,
// whichever varied less.
func (p *Predictor) Predict(job model.Job) time.Duration {
	s := p.samples[Key{job.Account, job.JobClass}]
	if s == nil || s.Count < minSamples {
		return job.DeclaredRunTime
	}
	if job.DeclaredRunTime <= 0 || s.RunVariance <= s.RatioVariance {
		return seconds(math.Exp(s.RunMean))
	}
	return seconds(job.DeclaredRunTime.Seconds() * math.Exp(s.RatioMean))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
