package deployed

import (
	"context"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"dragonflyyard/internal/jobagent"
	"dragonflyyard/internal/logging"
	"dragonflyyard/internal/rowpush"
	"dragonflyyard/internal/settings"
	"dragonflyyard/internal/storerelay"
	"dragonflyyard/internal/taskrunner"
	"dragonflyyard/internal/workload"
	"dragonflyyard/platform"
)

// RunAgent runs the agent beside a worker until ctx is done. reloadSettings
// reads the settings anew.
func RunAgent(ctx context.Context, s settings.DeployedAgent, log *zap.Logger, registry metrics.Registry, reloadSettings func() error) error {
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
	group, ctx := errgroup.WithContext(ctx)
	if err := serve(ctx, group, control, s.ControlAddress); err != nil {
		return err
	}
	if err := serve(ctx, group, metricsServer(registry), s.MetricsAddress); err != nil {
		return err
	}
	if err := serve(ctx, group, rowpush.NewServer(agent.OrdersPushed), s.PushAddress); err != nil {
		return err
	}
	group.Go(func() error { pushes.Run(ctx); return nil })
	group.Go(func() error { book.Run(ctx); return nil })
	group.Go(func() error { store.Probe(ctx, agentProbeEvery); return nil })
	group.Go(func() error { reload(ctx, log, reloadSettings); return nil })
	group.Go(func() error { return agent.Run(ctx) })
	err := group.Wait()
	log.Info("process_stopped", zap.String("host", s.Host), logging.Err(err))
	return err
}
