package capacity

import "testing"

func TestMeasurementsDoWhatTheyCount(t *testing.T) {
	const claims = 500
	if got := MeasureClaims(claims); got.Claims != claims || got.StateBytes <= 0 {
		t.Errorf("claims: %+v", got)
	}
	got, err := MeasureScheduler(50, TasksPerWorker)
	if err != nil || got.StateBytes <= 0 || got.PlaceNS <= 0 {
		t.Errorf("scheduler: %+v, %v", got, err)
	}
	if got := MeasureHomes(11); got.MovedRanges == 0 || got.MovedRanges > got.Ranges/5 {
		t.Errorf("homes: %+v", got)
	}
	if got := MeasureHomes(WorkersPerRegion); got.DeltaBytes > got.FrameBytes/100 {
		t.Errorf("the delta of one restart is no small part of the whole: %+v", got)
	}
}
