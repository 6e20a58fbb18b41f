// Package estimate predicts the run times of jobs. Declared run times are often
// inaccurate, so the predictor learns from completed jobs of the same client account
// and job class.
package estimate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dragonflyyard/internal/model"
)

// declaredVariance is the variance of log(run time / declared run time) without any
// samples: declarations are up to ten times too long or too short.
const declaredVariance = 1.8

// priorVariance is the prior for the variance, within one job class, of the logarithm
// of run times and of the logarithm of their ratio to the declared ones.
const priorVariance = 0.5

// maxSampleCount caps Samples.Count. Beyond it, means and variances are exponential
// moving averages in which a new sample has the weight 1/32.
const maxSampleCount = 32

// Key identifies a group of jobs with similar run times. An empty account stands
// for all accounts.
type Key struct {
	Account  model.ClientAccountID
	JobClass string
}

// CompareKeys orders keys by account, then by job class, which is the order of
// Predictor.State.
func CompareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.JobClass, b.JobClass))
}

// Samples holds the statistics of one key. Means and variances are of natural
// logarithms, so that overestimates and underestimates by the same factor weigh the
// same.
type Samples struct {
	Key Key
	// Count is the number of completed jobs, at most maxSampleCount.
	Count int
	// RunMean and RunVariance are of the run time in seconds.
	RunMean     float64
	RunVariance float64
	// RatioMean and RatioVariance are of the run time divided by the declared run time.
	RatioMean     float64
	RatioVariance float64
}

// Predictor predicts run times from observed ones. It is not safe for concurrent use.
type Predictor struct {
	samples map[Key]*Samples
}

// NewPredictor returns a predictor restored from an earlier State; nil for none.
func NewPredictor(state []Samples) *Predictor {
	p := &Predictor{samples: map[Key]*Samples{}}
	for _, s := range state {
		p.samples[s.Key] = &s
	}
	return p
}

// State returns a copy of the predictor's samples, sorted by key.
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

// Observe adds the run time of a completed job to the samples of its class, both for
// its account and for all accounts. Run times of 0 or less are ignored.
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
	s.Count = min(s.Count+1, maxSampleCount)
	rate := 1 / float64(s.Count)
	run := math.Log(ran.Seconds())
	updateMoments(&s.RunMean, &s.RunVariance, run, rate)
	if job.DeclaredRunTime > 0 {
		updateMoments(&s.RatioMean, &s.RatioVariance, run-math.Log(job.DeclaredRunTime.Seconds()), rate)
	}
}

// updateMoments updates an exponentially weighted mean and variance with the sample
// x, whose weight is rate.
func updateMoments(mean, variance *float64, x, rate float64) {
	diff := x - *mean
	*mean += rate * diff
	*variance = (1 - rate) * (*variance + rate*diff*diff)
}

// Predict returns the expected run time of a job, or 0 if there is neither a
// declaration nor a sample. Of these predictions it returns the one with the least
// error variance: the declared run time, the declared run time corrected by the mean
// ratio of the job's account and class, and the mean run time of the class in the
// job's account or in all accounts.
func (p *Predictor) Predict(job model.Job) time.Duration {
	var best prediction
	consider := func(candidate prediction) {
		if best.variance == 0 || candidate.variance < best.variance {
			best = candidate
		}
	}
	declared := math.Log(job.DeclaredRunTime.Seconds())
	if job.DeclaredRunTime > 0 {
		consider(prediction{declared, declaredVariance})
	}
	if s := p.samples[Key{job.Account, job.JobClass}]; s != nil {
		if job.DeclaredRunTime > 0 {
			consider(prediction{declared + s.RatioMean, s.errorVariance(s.RatioVariance)})
		}
		consider(prediction{s.RunMean, s.errorVariance(s.RunVariance)})
	}
	if s := p.samples[Key{JobClass: job.JobClass}]; s != nil {
		consider(prediction{s.RunMean, s.errorVariance(s.RunVariance)})
	}
	if best.variance == 0 {
		return 0
	}
	return seconds(math.Exp(best.mean))
}

// prediction is the predicted logarithm of a run time in seconds, and the variance of
// its error.
type prediction struct{ mean, variance float64 }

// errorVariance returns the variance of the error of a prediction by the samples'
// mean. Few samples give a poor estimate of their own variance, so priorVariance
// counts as one more sample. The factor 1 + 1/n adds the error of the mean itself.
func (s *Samples) errorVariance(variance float64) float64 {
	n := float64(s.Count)
	return (n*variance + priorVariance) / (n + 1) * (1 + 1/n)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
