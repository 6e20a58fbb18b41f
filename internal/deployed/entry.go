package deployed

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"dragonflyyard/internal/jobentry"
	"dragonflyyard/internal/logging"
	"dragonflyyard/internal/pause"
	"dragonflyyard/internal/queueconfig"
	"dragonflyyard/internal/rowpush"
	"dragonflyyard/internal/schedulerhost"
	"dragonflyyard/internal/settings"
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
	service := jobentry.NewService(view, store, func(row storeapi.Row) {
		rows := []storeapi.Row{row}
		if !scheduler.HandlePushedRows("", rows) {
			pushes.Push(book.AddressOf(string(scheduler.Owner())), rows)
		}
	}, log, registry)

	var stopping atomic.Bool
	var stop stopTimes
	// Servers take calls while accepting; what answers need goes on while answering.
	group, answering := errgroup.WithContext(context.WithoutCancel(ctx))
	answering, stopAnswering := context.WithCancel(answering)
	defer stopAnswering()
	accepting, stopAccepting := context.WithCancel(answering)
	defer stopAccepting()
	run := servers{starting: ctx, group: group, stop: &stop}
	front := platform.NewFrontServer(service.Answer, stopping.Load)
	frontDrained, err := run.serve(accepting, front, s.CallersAddress)
	if err != nil {
		return err
	}
	relay := storerelay.NewServer(direct, store.DirectUnavailable, stop.answerBy)
	relay.Handler = rowpush.Route(scheduler.HandlePushedRows, relay.Handler)
	relayDrained, err := run.serve(accepting, relay, s.RelayAddress)
	if err != nil {
		return err
	}
	ready := platform.NewReadinessServer(func() bool { return !stopping.Load() && view.Ready() })
	if _, err := run.serve(answering, ready, s.ReadinessAddress); err != nil {
		return err
	}
	if _, err := run.serve(answering, metricsServer(registry), s.MetricsAddress); err != nil {
		return err
	}
	group.Go(func() error { pushes.Run(answering); return nil })
	group.Go(func() error { book.Run(answering); return nil })
	group.Go(func() error { store.Probe(answering, entryProbeEvery); return nil })
	group.Go(func() error { view.Run(answering); return nil })
	group.Go(func() error { reload(answering, reloads, log, reloadSettings); return nil })
	group.Go(func() error { return scheduler.Run(ctx, s.StopGrace) })
	group.Go(func() error {
		select {
		case <-answering.Done():
			return nil
		case <-ctx.Done():
		}
		schedule := stop.begin(s.StopGrace)
		stopping.Store(true)
		service.EndBy(schedule.AnswerBy)
		log.Info("process_stopping", zap.String("host", string(s.Host)))
		pause.For(answering, time.Until(schedule.AcceptUntil))
		stopAccepting()
		<-frontDrained
		<-relayDrained
		stopAnswering()
		return nil
	})
	err = group.Wait()
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
