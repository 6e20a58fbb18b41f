package logging

import (
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Limits of a bounded log.
const (
	// linesOfAKind is how many lines of one kind are written in a second, below
	// which a process under load costs little processor time.
	linesOfAKind = 200
	// queuedLines is how many lines wait for a reader that is slow.
	queuedLines = 2048
)

// NewBounded returns a logger that writes JSON lines of the given level and
// above to standard output. It never blocks: what a slow reader leaves no room
// for is left out, and so is what exceeds linesOfAKind. Both are counted in the
// registry as "log.left_out".
func NewBounded(level string, registry metrics.Registry) (*zap.Logger, error) {
	return newBounded(os.Stdout, level, registry)
}

func newBounded(out io.Writer, level string, registry metrics.Registry) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	leftOut := metrics.GetOrRegisterCounter("log.left_out", registry)
	sampled := zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, linesOfAKind, 0,
			zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
				if decision&zapcore.LogDropped != 0 {
					leftOut.Inc(1)
				}
			}))
	})
	return New(newQueue(out, leftOut), parsed).WithOptions(sampled), nil
}

// queue is a writer that hands lines to a goroutine.
type queue struct {
	lines   chan []byte
	leftOut metrics.Counter
	queued  atomic.Int64
}

func newQueue(out io.Writer, leftOut metrics.Counter) *queue {
	q := &queue{lines: make(chan []byte, queuedLines), leftOut: leftOut}
	go func() {
		for line := range q.lines {
			if _, err := out.Write(line); err != nil {
				// There is no other place to report to.
				leftOut.Inc(1)
			}
			q.queued.Add(-1)
		}
	}()
	return q
}

// Write implements io.Writer. It never blocks.
func (q *queue) Write(line []byte) (int, error) {
	q.queued.Add(1)
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.queued.Add(-1)
		q.leftOut.Inc(1)
	}
	return len(line), nil
}

// syncWithin bounds the wait of Sync for a slow reader.
const syncWithin = 300 * time.Millisecond

// Sync waits until all lines were written, for at most syncWithin.
func (q *queue) Sync() error {
	for end := time.Now().Add(syncWithin); q.queued.Load() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("the reader of the log is slow")
		}
	}
	return nil
}

// Err returns the field of an error, with its message and without the stack
// trace that zap would add.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
