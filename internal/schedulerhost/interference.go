package schedulerhost

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/dispatch"
	"dragonflyyard/internal/interference"
	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// countDisturbances updates the gauges of what the core knows and did.
func (s *session) countDisturbances() {
	stats := s.core.DisturbanceStats()
	metrics.GetOrRegisterGauge("scheduler.disturbing_pairs", s.host.registry).Update(int64(stats.KnownPairs))
	metrics.GetOrRegisterGauge("scheduler.tasks_kept_apart", s.host.registry).Update(int64(stats.Separated))
}

// AnswerDisturbances answers a call with the stored evidence as an interference.Report in
// JSON, or with 503 if the row can't be read. Any entry host answers.
func (h *Host) AnswerDisturbances(ctx *fasthttp.RequestCtx) {
	report, err := h.disturbances()
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(report); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}

// disturbances reads the stored evidence. The read is bounded by learnedWait.
func (h *Host) disturbances() (interference.Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), learnedWait)
	defer cancel()
	report := interference.Report{AgeMS: -1, SeparationOn: h.Dispatch.SeparateDisturbing, Pairs: []interference.Pair{}}
	row, err := h.store.Get(ctx, workload.KeyLearned)
	if errors.Is(err, storeapi.ErrNotFound) {
		return report, nil
	}
	if err != nil {
		return report, errors.Wrapf(err, "read %s", workload.KeyLearned)
	}
	var learned dispatch.Learned
	if err := rowcodec.Decode(row.Value, &learned); err != nil {
		return report, errors.Wrapf(err, "decode %s", workload.KeyLearned)
	}
	nowMS := learned.AsOfMS
	if now, known := h.store.StoreTime(); known {
		nowMS = now.LatestMS
	}
	m, err := interference.Restore(nowMS, learned.Interference)
	if err != nil {
		return report, err
	}
	report.AgeMS = max(0, nowMS-learned.AsOfMS)
	report.Pairs = append(report.Pairs, m.Pairs(nowMS)...)
	return report, nil
}
