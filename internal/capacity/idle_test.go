package capacity

import "testing"

func TestIdleEntryHostOfTodayKeepsItsByteBound(t *testing.T) {
	rates, err := IdleEntryFrames(AgentsToday, EntryHostsToday)
	if err != nil {
		t.Fatal(err)
	}
	if total := totalBytes(rates); total > MaxBytesPerSecond {
		t.Errorf("%.0f bytes a second, want at most %d: %+v", total, MaxBytesPerSecond, rates)
	}
}
