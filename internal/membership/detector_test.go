package membership

import (
	"reflect"
	"testing"
	"time"

	"dragonflyyard/internal/model"
)

var start = time.Unix(1_000_000, 0)

// at returns an instant of the tests' clock.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestDetector(t *testing.T) {
	alive := HealthChange{"p", 1, HealthForgotten, HealthAlive}
	type step struct {
		ms   int
		do   func(d *Detector, now time.Time) []HealthChange
		want []HealthChange
	}
	heard := func(incarnation int) func(*Detector, time.Time) []HealthChange {
		return func(d *Detector, now time.Time) []HealthChange {
			return d.Heard(now, "p", model.Incarnation(incarnation))
		}
	}
	left := func(d *Detector, now time.Time) []HealthChange { return d.Left(now, "p", 1) }
	tick := func(d *Detector, now time.Time) []HealthChange { return d.Tick(now) }
	cases := []struct {
		name  string
		steps []step
	}{
		{"silence", []step{
			{0, heard(1), []HealthChange{alive}}, {600, tick, nil}, {1199, tick, nil},
			{1200, tick, []HealthChange{{"p", 1, HealthAlive, HealthSuspect}}}, {2000, tick, nil},
			{2500, tick, []HealthChange{{"p", 1, HealthSuspect, HealthDead}}},
			{600_000, tick, []HealthChange{{"p", 1, HealthDead, HealthForgotten}}},
			{600_100, heard(1), []HealthChange{alive}},
		}},
		{"word after suspicion and after death", []step{
			{0, heard(1), []HealthChange{alive}}, {600, tick, nil}, {1200, tick, []HealthChange{{"p", 1, HealthAlive, HealthSuspect}}},
			{1300, heard(1), []HealthChange{{"p", 1, HealthSuspect, HealthAlive}}}, {2000, tick, nil},
			{2900, tick, []HealthChange{{"p", 1, HealthAlive, HealthSuspect}}}, {3800, tick, []HealthChange{{"p", 1, HealthSuspect, HealthDead}}},
			{3900, heard(1), []HealthChange{{"p", 1, HealthDead, HealthAlive}}},
		}},
		{"new incarnation", []step{
			{0, heard(1), []HealthChange{alive}},
			{100, heard(2), []HealthChange{{"p", 1, HealthAlive, HealthDead}, {"p", 2, HealthDead, HealthAlive}}},
			{200, heard(1), nil}, {300, left, nil},
		}},
		{"left, then a late word, then a new life", []step{
			{0, heard(1), []HealthChange{alive}}, {100, left, []HealthChange{{"p", 1, HealthAlive, HealthLeft}}},
			{200, heard(1), nil}, {900, tick, nil}, {1800, tick, nil}, {2700, tick, nil},
			{2800, heard(2), []HealthChange{{"p", 2, HealthLeft, HealthAlive}}},
		}},
		{"the detector itself was paused", []step{
			{0, heard(1), []HealthChange{alive}}, {100, tick, nil}, {9000, tick, nil}, {9900, tick, nil},
			{10_300, tick, []HealthChange{{"p", 1, HealthAlive, HealthSuspect}}},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := NewDetector(DefaultDetectorLimits())
			for i, s := range c.steps {
				if got := s.do(d, at(s.ms)); !reflect.DeepEqual(got, s.want) {
					t.Errorf("step %d at %d ms: got %v, want %v", i, s.ms, got, s.want)
				}
			}
		})
	}
}
