package deployed

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"dragonflyyard/internal/httpserver"
	"dragonflyyard/internal/intake"
	"dragonflyyard/internal/jobagent"
	"dragonflyyard/internal/logging"
	"dragonflyyard/internal/rowpush"
	"dragonflyyard/internal/settings"
	"dragonflyyard/internal/shutdown"
	"dragonflyyard/internal/storerelay"
	"dragonflyyard/internal/taskrunner"
	"dragonflyyard/internal/workload"
	"dragonflyyard/platform"
)

// RunAgent runs the agent beside a worker until ctx is done. reloadSettings
// reads the settings anew.
func RunAgent(ctx context.Context, s settings.DeployedAgent, log *zap.Logger, registry metrics.Registry, reloadSettings func() error) error {
	reloads := watchReloads()
	log.Info("process_started", zap.String("host", s.Host), zap.String("zone", string(s.Zone)), zap.String("role", "agent"))
	direct := platform.NewStore(s.StoreAddress, registry)
	book := storerelay.NewPeerDirectory(direct, workload.PrefixRelays, s.Host, storerelay.Peer{Zone: s.Zone}, log)
	store := storerelay.NewClient(direct, book.Peers, log, registry)
	pushes := rowpush.NewSender(s.PushAddress, agentPushes, log, registry)
	agent := jobagent.New(s.Host, s.PushAddress, taskrunner.DefaultSettings(s.LongestLease), store, platform.NewWorkerCalls(s.WorkerAddress), pushes, log, registry)
	control := platform.NewControlServer(platform.WorkerEvents{
		Heartbeat: agent.Heartbeat,
		Left:      agent.WorkerLeft,
		Malformed: func(worker string, err error) {
			log.Warn("heartbeat_malformed", zap.String("worker", worker), logging.Err(err))
		},
	})
	r := newRun(ctx, httpserver.NewGuard(intake.Machine{MemoryMB: s.MemoryMB, Descriptors: s.FileDescriptors}, log, registry))
	defer r.stopWorking()
	controlDrained, err := r.serve(r.accepting, control, platform.ControlFace(), s.ControlAddress)
	if err != nil {
		return err
	}
	pushDrained, err := r.serve(r.accepting, rowpush.NewServer(agent.OrdersPushed), platform.PushFace(), s.PushAddress)
	if err != nil {
		return err
	}
	if _, err := r.serve(r.working, metricsServer(registry, nil), platform.MetricsFace(), s.MetricsAddress); err != nil {
		return err
	}
	r.work(pushes.Run)
	r.work(book.Run)
	r.work(func(ctx context.Context) { store.Probe(ctx, agentProbeEvery) })
	r.work(func(ctx context.Context) { reload(ctx, reloads, log, reloadSettings) })
	// The agent outlives the servers, so that it writes what they have answered for.
	r.group.Go(func() error { return agent.Run(r.working, r.exitBy) })
	r.stopOnSignal(s.StopGrace, func(shutdown.Schedule) time.Time {
		log.Info("process_stopping", zap.String("host", s.Host))
		return time.Now()
	}, controlDrained, pushDrained)
	err = r.wait()
	log.Info("process_stopped", zap.String("host", s.Host), logging.Err(err))
	return err
}
