package capacity

import (
	"math"
	"testing"
)

func TestFitRecoversALine(t *testing.T) {
	points := []Point{{11, 2*11 + 5}, {200, 2*200 + 5}, {1600, 2*1600 + 5}}
	line := Fit(points)
	if math.Abs(line.Slope-2) > 1e-9 || math.Abs(line.Fixed-5) > 1e-6 {
		t.Errorf("got %+v", line)
	}
	if got := line.At(19000); math.Abs(got-38005) > 1e-3 {
		t.Errorf("At(19000) = %v", got)
	}
}

func TestFitWithoutSpreadIsFlat(t *testing.T) {
	if got := Fit([]Point{{3, 4}, {3, 6}}); got != (Line{Fixed: 5}) {
		t.Errorf("got %+v", got)
	}
	if got := Fit(nil); got != (Line{}) {
		t.Errorf("got %+v", got)
	}
}
