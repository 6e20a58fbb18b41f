package link

import "github.com/rcrowley/go-metrics"

// traffic counts the frames of all connections of a hub and the bytes of their
// WebSocket payloads.
type traffic struct {
	framesIn, framesOut, bytesIn, bytesOut, writes metrics.Counter
}

func newTraffic() traffic {
	return traffic{
		metrics.NewCounter(), metrics.NewCounter(), metrics.NewCounter(), metrics.NewCounter(), metrics.NewCounter(),
	}
}

func (t traffic) register(registry metrics.Registry) {
	_ = registry.Register("link.frames_in", t.framesIn)
	_ = registry.Register("link.frames_out", t.framesOut)
	_ = registry.Register("link.bytes_in", t.bytesIn)
	_ = registry.Register("link.bytes_out", t.bytesOut)
	_ = registry.Register("link.writes", t.writes)
}

func (t traffic) countIn(bytes int) {
	t.framesIn.Inc(1)
	t.bytesIn.Inc(int64(bytes))
}

func (t traffic) countOut(bytes int) {
	t.framesOut.Inc(1)
	t.bytesOut.Inc(int64(bytes))
}
