package jobs

import (
	"fmt"
	"io"
	"math"

	"golang.org/x/sync/errgroup"
)

// Seeds is how many lists of each deployment are replayed.
const Seeds = 10

// maxParallel bounds the replays that run at the same time.
const maxParallel = 8

// Targets of the policy: times in seconds, the others as ratios.
const (
	targetClaim         = 1.3
	targetUrgent        = 1.3
	targetLargeSlowdown = 0.5
	targetFragmentation = 0.5
	targetZoneWork      = 0.9
)

// column is one figure of the table.
type column struct {
	name  string
	value func(Figures) float64
	// format is the verb for one value.
	format string
}

func columns() []column {
	return []column{
		{"mean completion (s)", func(f Figures) float64 { return f.MeanCompletion }, "%.0f"},
		{"p95 completion (s)", func(f Figures) float64 { return f.P95Completion }, "%.0f"},
		{"mean slowdown", func(f Figures) float64 { return f.MeanSlowdown }, "%.2f"},
		{"p95 slowdown", func(f Figures) float64 { return f.P95Slowdown }, "%.1f"},
		{"p95 slowdown, large", func(f Figures) float64 { return f.P95LargeSlowdown }, "%.1f"},
		{"deadlines met", func(f Figures) float64 { return f.DeadlinesMet }, "%.2f"},
		{"fragmentation", func(f Figures) float64 { return f.Fragmentation }, "%.2f"},
		{"of it, unavoidable", func(f Figures) float64 { return f.FragmentationFloor }, "%.2f"},
		{"zone window, work kept (1000 accelerator-s)", func(f Figures) float64 { return f.ZoneWork / 1000 }, "%.0f"},
		{"claim to running, longest (s)", func(f Figures) float64 { return f.ClaimMax }, "%.3f"},
		{"of it without checkpoints (s)", func(f Figures) float64 { return f.ClaimOwnMax }, "%.3f"},
		{"urgent to running, p95 (s)", func(f Figures) float64 { return f.UrgentP95 }, "%.2f"},
		{"urgent to running, longest (s)", func(f Figures) float64 { return f.UrgentMax }, "%.2f"},
		{"work stopped without a checkpoint (1000 accelerator-s)", func(f Figures) float64 { return f.WorkLost / 1000 }, "%.1f"},
		{"jobs left", func(f Figures) float64 { return float64(f.Left) }, "%.0f"},
		{"invariants broken", func(f Figures) float64 { return float64(f.Broken) }, "%.0f"},
	}
}

// Row is one variant of one deployment, over all seeds.
type Row struct {
	Name    string
	Figures []Figures
}

// Comparison is the rows of one deployment.
type Comparison struct {
	Deployment Deployment
	// Rows are the variants, the product's own policy first.
	Rows []Row
	// Steady is the product's policy without the zone change, Swapped the same
	// with the weights of the other deployment.
	Steady  Row
	Swapped Row
}

// Compare replays all lists of both deployments under all variants.
func Compare() []Comparison {
	deployments := Deployments()
	out := make([]Comparison, len(deployments))
	var cases []func()
	for i, d := range deployments {
		out[i].Deployment = d
		for _, v := range Variants() {
			out[i].Rows = append(out[i].Rows, Row{Name: v.Name, Figures: make([]Figures, Seeds)})
		}
		out[i].Steady = Row{Name: "dragonflyyard, zone stays", Figures: make([]Figures, Seeds)}
		out[i].Swapped = Row{Name: "dragonflyyard, weights of " + deployments[1-i].Name, Figures: make([]Figures, Seeds)}
		other := deployments[1-i].Config.Weights
		for seed := range Seeds {
			base := Case{Deployment: d, Seed: uint64(seed)}
			for v, variant := range Variants() {
				c := base
				c.Policy = variant.Policy
				cases = append(cases, func() { out[i].Rows[v].Figures[seed] = Run(c) })
			}
			steady, swapped := base, base
			steady.ZoneStays = true
			swapped.Weights = &other
			cases = append(cases, func() { out[i].Steady.Figures[seed] = Run(steady) })
			cases = append(cases, func() { out[i].Swapped.Figures[seed] = Run(swapped) })
		}
	}
	runAll(cases)
	return out
}

// runAll runs cases side by side. Each writes its own result, so that the
// order in which they end does not show.
func runAll(cases []func()) {
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for _, run := range cases {
		group.Go(func() error {
			run()
			return nil
		})
	}
	_ = group.Wait()
}

// spread is the mean, the least and the greatest of a figure over the seeds.
type spread struct{ mean, least, most float64 }

func (r Row) spread(value func(Figures) float64) spread {
	s := spread{least: math.Inf(1), most: math.Inf(-1)}
	for _, f := range r.Figures {
		v := value(f)
		s.mean += v / float64(len(r.Figures))
		s.least = min(s.least, v)
		s.most = max(s.most, v)
	}
	return s
}

// WriteTable writes the comparisons as tables of Markdown.
func WriteTable(w io.Writer, comparisons []Comparison) {
	for _, c := range comparisons {
		fmt.Fprintf(w, "### %s\n\nMean over %d seeds, in brackets the least and the greatest.\n\n| figure |", c.Deployment.Name, Seeds)
		rows := append(append([]Row{}, c.Rows...), c.Swapped, c.Steady)
		for _, r := range rows {
			fmt.Fprintf(w, " %s |", r.Name)
		}
		fmt.Fprint(w, "\n| --- |")
		for range rows {
			fmt.Fprint(w, " --- |")
		}
		fmt.Fprintln(w)
		for _, col := range columns() {
			fmt.Fprintf(w, "| %s |", col.name)
			for _, r := range rows {
				s := r.spread(col.value)
				fmt.Fprintf(w, " "+col.format+" ("+col.format+" to "+col.format+") |", s.mean, s.least, s.most)
			}
			fmt.Fprintln(w)
		}
		fmt.Fprintln(w)
		writeTargets(w, c)
	}
}

// writeTargets writes how the figures stand to the targets.
func writeTargets(w io.Writer, c Comparison) {
	ours, first := c.Rows[0], c.Rows[1]
	ratio := func(value func(Figures) float64) float64 { return ours.spread(value).mean / first.spread(value).mean }
	large := ratio(func(f Figures) float64 { return f.P95LargeSlowdown })
	fragmentation := ratio(func(f Figures) float64 { return f.Fragmentation })
	grace := DefaultOptions().Scheduler.CheckpointGrace.Seconds()
	claim := ours.spread(func(f Figures) float64 { return f.ClaimMax }).most
	own := ours.spread(func(f Figures) float64 { return f.ClaimOwnMax }).most
	work := zoneShare(c)
	broken := ours.spread(func(f Figures) float64 { return float64(f.Broken) }).most
	fmt.Fprintf(w, "| target | bound | measured | met |\n| --- | --- | --- | --- |\n")
	line := func(name, bound string, measured float64, met bool) {
		verdict := "no"
		if met {
			verdict = "yes"
		}
		fmt.Fprintf(w, "| %s | %s | %.3f | %s |\n", name, bound, measured, verdict)
	}
	line("claim to running, every run (s)", fmt.Sprintf("%.1f and %.0f for checkpoints", targetClaim, grace), claim, claim <= targetClaim+grace)
	line("decisions and messages of a claim, every run (s)", fmt.Sprintf("%.1f", targetClaim), own, own <= targetClaim)
	urgent := ours.spread(func(f Figures) float64 { return f.UrgentMax }).most
	line("urgent to running, every run (s)", fmt.Sprintf("%.1f", targetUrgent), urgent, urgent <= targetUrgent)
	line("p95 slowdown of large jobs over the first baseline's", fmt.Sprint(targetLargeSlowdown), large, large <= targetLargeSlowdown)
	line("fragmentation over the first baseline's", fmt.Sprint(targetFragmentation), fragmentation, fragmentation <= targetFragmentation)
	line("work kept in the zone change over what capacity allows", fmt.Sprint(targetZoneWork), work, work >= targetZoneWork)
	line("invariants broken, every run", "0", broken, broken == 0)
	fmt.Fprintln(w)
}

// zoneShare is the work kept in the window of the zone change over what the
// remaining capacity allows: the work of the same window without the change,
// at most the capacity that was in service.
func zoneShare(c Comparison) float64 {
	kept, allowed := 0.0, 0.0
	for seed := range Seeds {
		kept += c.Rows[0].Figures[seed].ZoneWork
		steady := c.Steady.Figures[seed].ZoneWork
		allowed += min(steady, remainingCapacity(c.Deployment, uint64(seed)))
	}
	return kept / allowed
}

// remainingCapacity is the accelerator-seconds in service in the window.
func remainingCapacity(d Deployment, seed uint64) float64 {
	list := NewList(d, seed)
	window := (zoneWindowEnd - zoneOutAt).Seconds()
	gone := (zoneBackAt - zoneOutAt).Seconds()
	sum := 0.0
	for _, w := range d.Workers {
		sum += float64(w.Capacity.Accelerators) * window
		if w.Zone == list.Zone {
			sum -= float64(w.Capacity.Accelerators) * gone
		}
	}
	return sum
}
