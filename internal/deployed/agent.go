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
	var stop stopTimes
	// Servers take calls while accepting; the agent goes on while finishing, so that it
	// writes what it has answered for.
	group, finishing := errgroup.WithContext(context.WithoutCancel(ctx))
	finishing, finish := context.WithCancel(finishing)
	defer finish()
	accepting, stopAccepting := context.WithCancel(finishing)
	defer stopAccepting()
	run := servers{starting: ctx, group: group, stop: &stop}
	controlDrained, err := run.serve(accepting, control, s.ControlAddress)
	if err != nil {
		return err
	}
	pushDrained, err := run.serve(accepting, rowpush.NewServer(agent.OrdersPushed), s.PushAddress)
	if err != nil {
		return err
	}
	if _, err := run.serve(finishing, metricsServer(registry), s.MetricsAddress); err != nil {
		return err
	}
	group.Go(func() error { pushes.Run(finishing); return nil })
	group.Go(func() error { book.Run(finishing); return nil })
	group.Go(func() error { store.Probe(finishing, agentProbeEvery); return nil })
	group.Go(func() error { reload(finishing, reloads, log, reloadSettings); return nil })
	group.Go(func() error { return agent.Run(finishing, stop.exitBy) })
	group.Go(func() error {
		select {
		case <-finishing.Done():
			return nil
		case <-ctx.Done():
		}
		stop.begin(s.StopGrace)
		log.Info("process_stopping", zap.String("host", s.Host))
		stopAccepting()
		<-controlDrained
		<-pushDrained
		finish()
		return nil
	})
	err = group.Wait()
	log.Info("process_stopped", zap.String("host", s.Host), logging.Err(err))
	return err
}
