package workerspeed

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/workload"
)

// runsOf draws steps of 40 tasks, whose work differs by up to 30 percent and between
// steps by ten times, on random workers, until each worker has had about n runs.
func runsOf(rng *rand.Rand, t *Tracker, nowMS *int64, speeds []float64, n int) {
	for step := range max(1, n*len(speeds)/40) {
		work := 1 + 9*rng.Float64()
		group := Group{Job: fmt.Sprint("job-", *nowMS, "-", step)}
		for task := range 40 {
			i := rng.IntN(len(speeds))
			id := workload.RunID{Task: workload.TaskRef{Job: model.JobID(group.Job), Index: task}, Run: 1}
			t.Observe(*nowMS, host(i), id, group, speeds[i]/(work*(0.7+0.6*rng.Float64())))
		}
		*nowMS += 1000
		t.Estimate(*nowMS)
	}
}

func host(i int) string { return fmt.Sprintf("h%03d", i) }

func mixed(n int, kinds ...float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = kinds[i%len(kinds)]
	}
	return out
}

func classOf(speed, average float64) Class {
	switch {
	case speed < average:
		return Slow
	case speed > average:
		return Fast
	}
	return Average
}

// TestSpeedsAreFoundFromRuns guards against speeds that drown in the noise of the tasks'
// work: after ten runs each, most workers of three kinds are known and none is confused.
func TestSpeedsAreFoundFromRuns(t *testing.T) {
	for seed := range uint64(20) {
		rng, now, tracker := rand.New(rand.NewPCG(seed, 1)), int64(1000), NewTracker()
		speeds := mixed(66, 0.8, 1, 1.25)
		runsOf(rng, tracker, &now, speeds, 10)
		right := 0
		for i, speed := range speeds {
			found, is := tracker.Speed(host(i)).Class, classOf(speed, 1)
			if found*is < 0 {
				t.Errorf("seed %d: worker of speed %v is of class %d", seed, speed, found)
			}
			if found == is {
				right++
			}
		}
		if right < 66*3/4 {
			t.Errorf("seed %d: %d of 66 workers are known", seed, right)
		}
	}
}

// TestAlikeWorkersStayAverage guards against decisions that follow noise: where workers
// are alike, none may ever count as fast or slow, whatever its tasks.
func TestAlikeWorkersStayAverage(t *testing.T) {
	for seed := range uint64(40) {
		rng, now, tracker := rand.New(rand.NewPCG(seed, 2)), int64(1000), NewTracker()
		for range 30 {
			runsOf(rng, tracker, &now, mixed(40, 1), 1)
			if tracker.Uneven() {
				t.Fatalf("seed %d: alike workers count as uneven", seed)
			}
		}
	}
}

// TestTurnOfASpeedIsFound guards against a worker that is trusted for its past: it turns
// three times as slow, and is found within four runs; so is its return.
func TestTurnOfASpeedIsFound(t *testing.T) {
	for seed := range uint64(20) {
		rng, now, tracker := rand.New(rand.NewPCG(seed, 3)), int64(1000), NewTracker()
		speeds := mixed(40, 1)
		runsOf(rng, tracker, &now, speeds, 10)
		for _, turn := range []struct {
			speed float64
			class Class
		}{{1.0 / 3, Slow}, {1, Average}} {
			speeds[0] = turn.speed
			for run := 0; tracker.Speed(host(0)).Class != turn.class; run++ {
				if run == 4 {
					t.Fatalf("seed %d: speed %v is not found within 4 runs: %+v", seed, turn.speed, tracker.Speed(host(0)))
				}
				group := Group{Job: fmt.Sprint("turn-", now)}
				for i, speed := range speeds {
					tracker.Observe(now, host(i), workload.RunID{Task: workload.TaskRef{Job: model.JobID(group.Job)}}, group, speed*(0.8+0.4*rng.Float64()))
				}
				now += 1000
				tracker.Estimate(now)
			}
		}
	}
}

// TestStateIsTakenOver guards against a successor that starts from nothing, or that
// believes records which no tracker can have written.
func TestStateIsTakenOver(t *testing.T) {
	rng, now, tracker := rand.New(rand.NewPCG(1, 4)), int64(1000), NewTracker()
	runsOf(rng, tracker, &now, mixed(66, 0.8, 1, 1.25), 10)
	successor := NewTracker()
	successor.Restore(now, now, *tracker.State())
	for i := range 66 {
		if was, is := tracker.Speed(host(i)), successor.Speed(host(i)); was.Class != is.Class || was.Factor != is.Factor {
			t.Errorf("%s: %+v, the successor has %+v", host(i), was, is)
		}
	}
	odd := NewTracker()
	odd.Restore(now, now, State{[]Record{{Host: "a", FittedPercent: -5, FactorPercent: 50, Runs: 3}, {Host: "b", FittedPercent: 50, FactorPercent: 50, Runs: 1 << 30}, {FittedPercent: 50, FactorPercent: 50, Runs: 3}}})
	odd.Restore(now, now+1, *tracker.State())
	odd.Restore(now+maxAgeMS+1, now, *tracker.State())
	if odd.Uneven() || len(odd.workers) > 0 {
		t.Errorf("odd records are believed: %v", odd.workers)
	}
}
