package logging

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// blockedWriter takes nothing until it is opened.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	got  strings.Builder
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.Write(p)
}

func (w *blockedWriter) lines() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Count(w.got.String(), "\n")
}

// TestFloodNeverBlocks: a reader that takes nothing, and far more lines than the
// bound of each kind. No call waits, and what is left out is counted.
func TestFloodNeverBlocks(t *testing.T) {
	registry := metrics.NewRegistry()
	out := &blockedWriter{open: make(chan struct{})}
	log, err := newBounded(out, "info", registry)
	if err != nil {
		t.Fatal(err)
	}
	const kinds, each = 20, 5000
	for i := range each {
		for kind := range kinds {
			log.Info("kind"+string(rune('a'+kind)), zap.Int("i", i))
		}
	}
	close(out.open)
	if err := log.Sync(); err != nil {
		t.Log(err)
	}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if leftOut := metrics.GetOrRegisterCounter("log.left_out", registry).Count(); int(leftOut)+out.lines() == kinds*each {
			return
		}
	}
	t.Errorf("%d lines written and %d left out of %d", out.lines(), metrics.GetOrRegisterCounter("log.left_out", registry).Count(), kinds*each)
}

func TestErr(t *testing.T) {
	if Err(nil) != zap.Skip() {
		t.Error("no error gives a field")
	}
}
