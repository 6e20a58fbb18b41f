package deployed

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"dragonflyyard/internal/httpserver"
	"dragonflyyard/internal/intake"
	"dragonflyyard/internal/jobentry"
	"dragonflyyard/internal/logging"
	"dragonflyyard/internal/queueconfig"
	"dragonflyyard/internal/rowpush"
	"dragonflyyard/internal/schedulerhost"
	"dragonflyyard/internal/settings"
	"dragonflyyard/internal/shutdown"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/storerelay"
	"dragonflyyard/internal/workload"
	"dragonflyyard/platform"
)

// How often a process asks a store that is away. Entry hosts are few, and callers
// wait for them; agents are as many as workers, and their runs go on meanwhile.
const (
	entryProbeEvery = 150 * time.Millisecond
	agentProbeEvery = 500 * time.Millisecond
)

// Pushes of a process under way at the same time. Those to processes that don't
// answer take 0.4 s each, and a third of hundreds of agents may be cut off.
const (
	entryPushes = 64
	agentPushes = 2
)

// RunEntry runs an entry host until ctx is done, then stops gracefully.
// reloadSettings reads the settings anew.
func RunEntry(ctx context.Context, s settings.DeployedEntry, log *zap.Logger, registry metrics.Registry, reloadSettings func() error) error {
	reloads := watchReloads()
	log.Info("process_started", zap.String("host", string(s.Host)), zap.String("zone", string(s.Zone)), zap.String("role", "entry"))
	direct := platform.NewStore(s.StoreAddress, registry)
	book := storerelay.NewPeerDirectory(direct, workload.PrefixRelays, string(s.Host), storerelay.Peer{Address: s.RelayAddress, Zone: s.Zone, Cores: s.Cores, LinkMbps: s.LinkMbps}, log)
	store := storerelay.NewClient(direct, book.Peers, log, registry)
	view := jobentry.NewView(operatorRows(), store, log)
	pushes := rowpush.NewSender(s.RelayAddress, entryPushes, log, registry)
	scheduler := schedulerhost.New(s.Host, s.Region, store, view.SchedulerView, book.Standing, pushes, log, registry)
	scheduler.Dispatch.LearnSpeeds = s.LearnWorkerSpeeds
	scheduler.Dispatch.SeparateDisturbing = s.SeparateDisturbingTasks
	scheduler.Dispatch.FairShares = s.FairShares
	service := jobentry.NewService(view, store, func(row storeapi.Row) {
		rows := []storeapi.Row{row}
		if !scheduler.HandlePushedRows("", rows) {
			pushes.Push(book.AddressOf(string(scheduler.Owner())), rows)
		}
	}, log, registry)

	var stopping atomic.Bool
	machine := intake.Machine{MemoryMB: s.MemoryMB, Descriptors: s.FileDescriptors}
	r := newRun(ctx, httpserver.NewGuard(machine, log, registry))
	defer r.stopWorking()
	frontDrained, err := r.serve(r.accepting, platform.NewFrontServer(service.Answer, stopping.Load), platform.CallersFace(view.Limits), s.CallersAddress)
	if err != nil {
		return err
	}
	relay := storerelay.NewServer(direct, store.DirectUnavailable, r.answerBy, platform.RelayRoom(machine))
	relay.Handler = rowpush.Route(scheduler.HandlePushedRows, relay.Handler)
	relayDrained, err := r.serve(r.accepting, relay, platform.RelayFace(), s.RelayAddress)
	if err != nil {
		return err
	}
	ready := platform.NewReadinessServer(func() bool { return !stopping.Load() && view.Ready() })
	if _, err := r.serve(r.working, ready, platform.ReadinessFace(), s.ReadinessAddress); err != nil {
		return err
	}
	if _, err := r.serve(r.working, metricsServer(registry, scheduler.AnswerDisturbances), platform.MetricsFace(), s.MetricsAddress); err != nil {
		return err
	}
	r.work(pushes.Run)
	r.work(book.Run)
	r.work(func(ctx context.Context) { store.Probe(ctx, entryProbeEvery) })
	r.work(view.Run)
	r.work(func(ctx context.Context) { reload(ctx, reloads, log, reloadSettings) })
	r.group.Go(func() error { return scheduler.Run(ctx, s.StopGrace) })
	r.stopOnSignal(s.StopGrace, func(schedule shutdown.Schedule) time.Time {
		stopping.Store(true)
		service.EndBy(schedule.AnswerBy)
		log.Info("process_stopping", zap.String("host", string(s.Host)))
		return schedule.AcceptUntil
	}, frontDrained, relayDrained)
	err = r.wait()
	log.Info("process_stopped", zap.String("host", string(s.Host)), logging.Err(err))
	return err
}

func operatorRows() jobentry.OperatorRows {
	return jobentry.OperatorRows{
		Table:     platform.TableOperator,
		ConfigKey: platform.KeyConfig,
		DecodeConfig: func(row storeapi.Row) (*queueconfig.Config, error) {
			decoded, err := platform.DecodeOperatorRow(row)
			return decoded.Config, err
		},
		EvacuationPrefix: platform.PrefixEvacuate,
		EvacuatedZone:    platform.EvacuatedZoneOf,
	}
}
