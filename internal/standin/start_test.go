package standin

import (
	"testing"
	"time"

	"dragonflyyard/internal/model"
)

func TestWorkerRefusesAStartThatComesTooLate(t *testing.T) {
	now := time.UnixMilli(10_000)
	capacity := model.Resources{Accelerators: 8, Cores: 64, MemoryMB: 1024}
	worker := NewWorker(capacity, 0, func() time.Time { return now })
	start := StartTask{ID: "j/0", RunMS: 1000, LeaseMS: 1000, NotAfterUnixMS: 9_999}
	if reason := worker.Start(start); reason == "" {
		t.Error("a start after its last instant was taken")
	}
	start.NotAfterUnixMS = 10_000
	if reason := worker.Start(start); reason != "" {
		t.Errorf("a start in time was refused: %s", reason)
	}
}
