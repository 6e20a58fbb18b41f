package workload

import (
	"maps"
	"slices"
	"sort"
)

// Sizes that bound the progress row of a job, in bytes. Load pattern: a job that
// repeats thousands of times, or whose occurrences fall due faster than they are done.
const (
	// MaxRowBytes is the maximum size of a row's value. Its base64 encoding is within
	// the 64 KiB that the platform allows.
	MaxRowBytes = 48 << 10
	// unfinishedBytes bounds the part of the row for the occurrences that have begun
	// and are not done. The rest is for the done ones and for checkpoints.
	unfinishedBytes = 32 << 10
	// taskBytes is the largest encoding of a TaskProgress without its checkpoint, for
	// run numbers below 2^32. stepBytes and occurrenceBytes are the largest overheads of
	// a step and of an occurrence.
	taskBytes       = 20
	stepBytes       = 3
	occurrenceBytes = 8
	// maxListedDone is the number of done occurrences that are listed one by one.
	maxListedDone = 500
)

// MaxUnfinishedOccurrences returns how many occurrences of the job may have begun
// without being done, at least 1. The progress of so many fits into one row.
func (j *Job) MaxUnfinishedOccurrences() int {
	size := occurrenceBytes
	for i := range j.Steps {
		size += stepBytes + j.Steps[i].Tasks*taskBytes
	}
	return max(1, unfinishedBytes/size)
}

// inDoneRange reports whether an occurrence is in one of DoneRanges.
func (p *Progress) inDoneRange(occurrence int) bool {
	i := sort.Search(len(p.DoneRanges), func(i int) bool { return p.DoneRanges[i][1] >= occurrence })
	return i < len(p.DoneRanges) && p.DoneRanges[i][0] <= occurrence
}

// BeginDue begins the job's occurrences that are due by the wall clock, in order, as
// far as MaxUnfinishedOccurrences allows. Further ones begin once some are done.
func (p *Progress) BeginDue(job *Job, nowUnixMS int64) {
	room := job.MaxUnfinishedOccurrences()
	for _, o := range p.Occurrences {
		if !o.Done {
			room--
		}
	}
	first := 0
	if len(p.DoneRanges) > 0 && p.DoneRanges[0][0] == 0 {
		first = p.DoneRanges[0][1] + 1
	}
	for k := first; k < job.Occurrences && room > 0; k++ {
		if job.Scheduled() && nowUnixMS < job.DueUnixMS(k) {
			return
		}
		if p.Occurrences[k] == nil && !p.inDoneRange(k) {
			p.EnsureOccurrence(job, k)
			room--
		}
	}
}

// FoldDone moves the done occurrences into DoneRanges if there are more than
// maxListedDone of them. Until then they remain as earlier releases store them. There is
// at most one range more than there are unfinished occurrences, since occurrences begin
// in order.
func (p *Progress) FoldDone() {
	var done []int
	for k, o := range p.Occurrences {
		if o.Done {
			done = append(done, k)
		}
	}
	if len(done) <= maxListedDone {
		return
	}
	for _, k := range done {
		delete(p.Occurrences, k)
		p.DoneRanges = append(p.DoneRanges, [2]int{k, k})
	}
	slices.SortFunc(p.DoneRanges, func(a, b [2]int) int { return a[0] - b[0] })
	merged := p.DoneRanges[:1]
	for _, r := range p.DoneRanges[1:] {
		if last := &merged[len(merged)-1]; r[0] == last[1]+1 {
			last[1] = r[1]
			continue
		}
		merged = append(merged, r)
	}
	p.DoneRanges = merged
}

// DropUnstarted removes the occurrences of which no task was ever ordered. They begin
// again when it is their turn.
func (p *Progress) DropUnstarted() {
	maps.DeleteFunc(p.Occurrences, func(_ int, o *OccurrenceProgress) bool { return !o.Done && !o.started() })
}

func (o *OccurrenceProgress) started() bool {
	for _, tasks := range o.Steps {
		if slices.ContainsFunc(tasks, func(t TaskProgress) bool { return t != TaskProgress{} }) {
			return true
		}
	}
	return false
}

// DropCheckpoints removes all checkpoints. The next runs of the tasks start from the
// beginning.
func (p *Progress) DropCheckpoints() {
	for _, o := range p.Occurrences {
		for _, tasks := range o.Steps {
			for i := range tasks {
				tasks[i].Checkpoint = ""
			}
		}
	}
}
