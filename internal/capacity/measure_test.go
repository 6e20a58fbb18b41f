package capacity

import (
	"testing"

	"dragonflyyard/internal/model"
)

func TestIdleLinksOfARegionFitIntoAnEntryHost(t *testing.T) {
	const links = 40
	got, err := MeasureLinks(links)
	if err != nil {
		t.Fatal(err)
	}
	if all := got.BytesPerEnd * WorkersPerRegion; all > MaxMemoryBytes {
		t.Errorf("%d links take %.0f bytes, want at most %d", WorkersPerRegion, all, MaxMemoryBytes)
	}
}

func TestLostZoneRunsAgainWhereThereIsRoom(t *testing.T) {
	const workers = 64
	got, err := MeasureLoss(workers, func(w model.Worker) bool { return w.Zone == regionWorker(0).Zone })
	if err != nil {
		t.Fatal(err)
	}
	free := workers*workerAccelerators - workers*TasksPerWorker
	if got.LostWorkers != workers/zonesOf || got.LostTasks == 0 || got.RestartedJobs != min(got.LostTasks, free)/jobTasks {
		t.Errorf("%d accelerators free: %+v", free, got)
	}
}

func TestMeasurementsDoWhatTheyCount(t *testing.T) {
	const claims = 500
	if got := MeasureClaims(claims); got.Claims != claims || got.StateBytes <= 0 {
		t.Errorf("claims: %+v", got)
	}
	got, err := MeasureScheduler(50, TasksPerWorker)
	if err != nil || got.StateBytes <= 0 || got.PlaceNS <= 0 {
		t.Errorf("scheduler: %+v, %v", got, err)
	}
	if got.SegmentBytes <= 0 || got.SegmentBytes > got.SnapshotBytes/4 {
		t.Errorf("segment: %+v", got)
	}
	if got := MeasureHomes(11); got.MovedRanges == 0 || got.MovedRanges > got.Ranges/5 {
		t.Errorf("homes: %+v", got)
	}
	if got := MeasureHomes(WorkersPerRegion); got.DeltaBytes > got.FrameBytes/100 {
		t.Errorf("the delta of one restart is no small part of the whole: %+v", got)
	}
}
