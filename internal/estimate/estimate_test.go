package estimate

import (
	"math"
	"reflect"
	"testing"
	"time"

	"dragonflyyard/internal/model"
)

func TestPredict(t *testing.T) {
	cases := []struct {
		name string
		// declared and ran are in seconds.
		declared, ran []float64
		ask, want     float64
	}{
		{"nothing seen", nil, nil, 100, 100},
		{"one sample corrects the declaration", []float64{100}, []float64{10}, 200, 20},
		{"declared ten times too long", []float64{100, 1000, 300}, []float64{10, 100, 30}, 500, 50},
		{"declared ten times too short", []float64{1, 10, 3}, []float64{10, 100, 30}, 5, 50},
		{"run times alike, declarations wild", []float64{1, 1000, 30}, []float64{60, 60, 60}, 5, 60},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := NewPredictor(nil)
			for i := range c.ran {
				p.Observe(model.Job{DeclaredRunTime: seconds(c.declared[i])}, seconds(c.ran[i]))
			}
			got := p.Predict(model.Job{DeclaredRunTime: seconds(c.ask)})
			if math.Abs(got.Seconds()-c.want) > 0.01 {
				t.Errorf("got %s, want %g s", got, c.want)
			}
			if again := NewPredictor(p.State()); !reflect.DeepEqual(again, p) {
				t.Error("the state does not give the same predictor")
			}
		})
	}
}

func TestPredictFromOtherAccounts(t *testing.T) {
	p := NewPredictor(nil)
	for _, ran := range []float64{50, 60, 70} {
		p.Observe(model.Job{Account: "a", JobClass: "k", DeclaredRunTime: seconds(ran)}, seconds(ran))
	}
	ask := func(account model.ClientAccountID, class string) float64 {
		return p.Predict(model.Job{Account: account, JobClass: class, DeclaredRunTime: seconds(600)}).Seconds()
	}
	if got := ask("a", "k"); math.Abs(got-600) > 0.01 {
		t.Errorf("an account with true declarations gets %g s, want 600", got)
	}
	if got := ask("b", "k"); math.Abs(got-59.4) > 0.1 {
		t.Errorf("an account that is not known gets %g s, want the class's 59.4", got)
	}
	if got := ask("b", "other"); math.Abs(got-600) > 0.01 {
		t.Errorf("a class that is not known gets %g s, want the declared 600", got)
	}
}

func TestZeroRunTimeIsIgnored(t *testing.T) {
	p := NewPredictor(nil)
	p.Observe(model.Job{DeclaredRunTime: time.Second}, 0)
	if len(p.State()) != 0 {
		t.Errorf("got %+v", p.State())
	}
}
