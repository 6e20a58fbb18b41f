package jobs

import "testing"

// meanOf replays all lists of a deployment and returns the figures as a row.
func meanOf(base Case) Row { return meanFrom(base, 0) }

// meanFrom is meanOf with the lists of the seeds from first on.
func meanFrom(base Case, first uint64) Row {
	row := Row{Figures: make([]Figures, Seeds)}
	var cases []func()
	for seed := range Seeds {
		c := base
		c.Seed = first + uint64(seed)
		cases = append(cases, func() { row.Figures[seed] = Run(c) })
	}
	runAll(cases)
	return row
}

// TestTargets holds the policy to its targets on the first deployment's lists,
// and each deployment's weights to the figure that it weighs most.
func TestTargets(t *testing.T) {
	deployments := Deployments()
	first, second := deployments[0], deployments[1]
	ours := meanOf(Case{Deployment: first})
	baseline := meanOf(Case{Deployment: first, Policy: Variants()[1].Policy})
	swapped := meanOf(Case{Deployment: first, Weights: &second.Config.Weights})
	zoneOurs := meanOf(Case{Deployment: second})
	secondBaseline := meanOf(Case{Deployment: second, Policy: Variants()[1].Policy})
	zoneSwapped := meanOf(Case{Deployment: second, Weights: &first.Config.Weights})
	large := func(f Figures) float64 { return f.P95LargeSlowdown }
	fragmentation := func(f Figures) float64 { return f.Fragmentation }
	completion := func(f Figures) float64 { return f.MeanCompletion }
	work := func(f Figures) float64 { return f.ZoneWork }
	claim := func(f Figures) float64 { return f.ClaimOwnMax }
	urgent := func(f Figures) float64 { return f.UrgentMax }
	broken := func(f Figures) float64 { return float64(f.Broken) }
	cases := []struct {
		name  string
		got   float64
		bound float64
	}{
		{"large_slowdown", ours.spread(large).mean / baseline.spread(large).mean, targetLargeSlowdown},
		{"large_slowdown_second", zoneOurs.spread(large).mean / secondBaseline.spread(large).mean, targetLargeSlowdown},
		{"fragmentation", ours.spread(fragmentation).mean / baseline.spread(fragmentation).mean, targetFragmentation},
		{"weights_favour_completion", ours.spread(completion).mean / swapped.spread(completion).mean, 1},
		{"weights_favour_zone_work", zoneSwapped.spread(work).mean / zoneOurs.spread(work).mean, 1},
		{"claim", ours.spread(claim).most, targetClaim},
		{"urgent", max(ours.spread(urgent).most, zoneOurs.spread(urgent).most), targetUrgent},
		{"invariants", ours.spread(broken).most, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.got > c.bound {
				t.Errorf("%.3f, want at most %g", c.got, c.bound)
			}
		})
	}
}

// TestTargetsOnUnseenLists holds the policy to the target of large jobs on lists
// on which no setting was chosen.
func TestTargetsOnUnseenLists(t *testing.T) {
	const firstSeed = 10
	large := func(f Figures) float64 { return f.P95LargeSlowdown }
	for _, deployment := range Deployments() {
		ours := meanFrom(Case{Deployment: deployment}, firstSeed)
		baseline := meanFrom(Case{Deployment: deployment, Policy: Variants()[1].Policy}, firstSeed)
		t.Run(deployment.Name, func(t *testing.T) {
			if got := ours.spread(large).mean / baseline.spread(large).mean; got > targetLargeSlowdown {
				t.Errorf("%.3f, want at most %g", got, targetLargeSlowdown)
			}
		})
	}
}
