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

// declaredVariance is the variance of the logarithm of run time over declared run
// time before anything is known: declarations are up to ten times off either way.
const declaredVariance = 1.8

// priorVariance is the variance of the logarithm of run times, or of their ratio
// to the declared ones, that is taken for jobs of one class before it is known.
const priorVariance = 0.5

// memory is the number of samples after which older ones fade.
const memory = 32

// Key names the jobs that are taken to resemble each other. An empty account
// stands for all accounts.
type Key struct {
	Account  model.ClientAccountID
	JobClass string
}

// CompareKeys orders keys by account, then by job class, as State does.
func CompareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.JobClass, b.JobClass))
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
		return CompareKeys(a.Key, b.Key)
	})
	return out
}

// Observe learns from a job that ran to its end, for its account's jobs of the
// class and for those of all accounts.
func (p *Predictor) Observe(job model.Job, ran time.Duration) {
	if ran <= 0 {
		return
	}
	p.observe(Key{job.Account, job.JobClass}, job, ran)
	p.observe(Key{JobClass: job.JobClass}, job, ran)
}

func (p *Predictor) observe(key Key, job model.Job, ran time.Duration) {
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

// Predict returns the expected run time of a job: its declaration, the
// declaration corrected by the usual factor of its account and class, or the run
// times of the class in its account or in all accounts, whichever is the surest.
func (p *Predictor) Predict(job model.Job) time.Duration {
	var best guess
	consider := func(g guess) {
		if best.variance == 0 || g.variance < best.variance {
			best = g
		}
	}
	declared := math.Log(job.DeclaredRunTime.Seconds())
	if job.DeclaredRunTime > 0 {
		consider(guess{declared, declaredVariance})
	}
	if s := p.samples[Key{job.Account, job.JobClass}]; s != nil {
		if job.DeclaredRunTime > 0 {
			consider(guess{declared + s.RatioMean, s.uncertainty(s.RatioVariance)})
		}
		consider(guess{s.RunMean, s.uncertainty(s.RunVariance)})
	}
	if s := p.samples[Key{JobClass: job.JobClass}]; s != nil {
		consider(guess{s.RunMean, s.uncertainty(s.RunVariance)})
	}
	if best.variance == 0 {
		return 0
	}
	return seconds(math.Exp(best.mean))
}

// guess is one prediction: the logarithm of the run time in seconds, and the
// variance of its error.
type guess struct{ mean, variance float64 }

// uncertainty is the variance of the error of a prediction by the samples' mean.
// Few samples say little about how much their kind varies, so the prior counts
// as one more sample.
func (s *Samples) uncertainty(variance float64) float64 {
	n := float64(s.Count)
	return (n*variance + priorVariance) / (n + 1) * (1 + 1/n)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
