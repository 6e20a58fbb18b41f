package interference

import "math"

// Limits of what a Trace takes for work.
const (
	// stallMS and stallPaces bound the time without progress, absolutely and as a multiple
	// of the run's own time for a percent. A longer pause is the worker's fault, so the
	// interval with it is left out.
	stallMS    = 1500
	stallPaces = 4
	// maxGroups bounds the sets of neighbours that are kept of one run.
	maxGroups = 24
)

// Sample is what a worker reports on a run.
type Sample struct {
	// SentMS is the time of the report, and StalledMS the time since Percent last changed.
	SentMS, StalledMS int64
	// Percent is the share of the run's work that is done.
	Percent int
	// Neighbours are the kinds of the other runs on the worker.
	Neighbours Set
}

// Trace collects the progress of one run beside each set of neighbours. The zero value is
// ready to use.
type Trace struct {
	generation uint32
	firstMS    int64
	// open is set while an interval with the same neighbours is being observed, which began
	// at start; last is the newest point of it.
	open        bool
	neighbours  Set
	start, last point
	groups      []group
}

type point struct {
	atMS    int64
	percent int
}

// group is the progress of a run beside one set of neighbours.
type group struct {
	neighbours Set
	work       float64
	seconds    float64
}

func (g *group) weight() float64  { return min(g.seconds, maxSeconds) }
func (g *group) logRate() float64 { return math.Log(g.work / g.seconds) }

// deviation returns how far the presence of a kind is from its mean.
func (g *group) deviation(index int, mean float64) float64 {
	if g.neighbours.has(index) {
		return 1 - mean
	}
	return -mean
}

// Observe adds a report. Reports must come in the order in which they were sent.
func (t *Trace) Observe(m *Model, r Sample) {
	if t.firstMS == 0 || t.generation != m.generation {
		*t = Trace{generation: m.generation, firstMS: r.SentMS}
	}
	at := point{r.SentMS - r.StalledMS, r.Percent}
	switch {
	case t.open && (at.percent < t.last.percent || t.stalled(r)):
		t.open = false
	case t.open && t.neighbours == r.Neighbours:
		t.last = at
	case !t.stalled(r):
		// The neighbours changed at some time since the last report.
		t.Close()
		t.open, t.neighbours, t.start, t.last = true, r.Neighbours, at, at
	}
}

// stalled reports whether the run has made no progress for longer than its pace explains.
func (t *Trace) stalled(r Sample) bool {
	patience := int64(stallMS)
	if worked := t.last.percent - t.start.percent; t.open && worked > 0 {
		patience = max(patience, stallPaces*(t.last.atMS-t.start.atMS)/int64(worked))
	} else if r.Percent > 0 {
		patience = max(patience, stallPaces*(r.SentMS-r.StalledMS-t.firstMS)/int64(r.Percent))
	}
	return r.StalledMS > patience
}

// Skip drops the interval that is being observed, because reports of it are missing.
func (t *Trace) Skip() { t.open = false }

// Close ends the interval that is being observed, for example when the run ends.
func (t *Trace) Close() {
	if !t.open {
		return
	}
	t.open = false
	work, seconds := float64(t.last.percent-t.start.percent), float64(t.last.atMS-t.start.atMS)/1000
	if work <= 0 || seconds <= 0 {
		return
	}
	for i := range t.groups {
		if t.groups[i].neighbours == t.neighbours {
			t.groups[i].work += work
			t.groups[i].seconds += seconds
			return
		}
	}
	if len(t.groups) < maxGroups {
		t.groups = append(t.groups, group{t.neighbours, work, seconds})
	}
}

// usable returns the groups with enough progress. It returns none if a kind's index was
// given to another kind meanwhile.
func (t *Trace) usable(generation uint32) []group {
	t.Close()
	var out []group
	for _, g := range t.groups {
		if t.generation == generation && g.work >= minWork && g.seconds >= minSeconds {
			out = append(out, g)
		}
	}
	return out
}
