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
	"dragonflyyard/internal/queueconfig"
	"dragonflyyard/internal/rowpush"
	"dragonflyyard/internal/schedulerhost"
	"dragonflyyard/internal/settings"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/storerelay"
	"dragonflyyard/internal/workload"
	"dragonflyyard/platform"
)

// drainShare is the share of the grace after SIGTERM in which callers are still
// served, while the balancer sends no new connections.
const drainShare = 0.55

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
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group, serving := errgroup.WithContext(serving)
	front := platform.NewFrontServer(service.Answer, stopping.Load)
	ready := platform.NewReadinessServer(func() bool { return !stopping.Load() && view.Ready() })
	if err := serve(serving, group, front, s.CallersAddress); err != nil {
		return err
	}
	if err := serve(serving, group, ready, s.ReadinessAddress); err != nil {
		return err
	}
	if err := serve(serving, group, metricsServer(registry), s.MetricsAddress); err != nil {
		return err
	}
	relay := storerelay.NewServer(direct, store.DirectUnavailable)
	relay.Handler = rowpush.Route(scheduler.HandlePushedRows, relay.Handler)
	if err := serve(serving, group, relay, s.RelayAddress); err != nil {
		return err
	}
	group.Go(func() error { pushes.Run(serving); return nil })
	group.Go(func() error { book.Run(serving); return nil })
	group.Go(func() error { store.Probe(serving, entryProbeEvery); return nil })
	group.Go(func() error { view.Run(serving); return nil })
	group.Go(func() error { reload(serving, log, reloadSettings); return nil })
	group.Go(func() error { return scheduler.Run(ctx) })
	group.Go(func() error {
		select {
		case <-serving.Done():
			return nil
		case <-ctx.Done():
		}
		stopping.Store(true)
		log.Info("process_stopping", zap.String("host", string(s.Host)))
		time.Sleep(time.Duration(drainShare * float64(s.StopGrace)))
		stopServing()
		return nil
	})
	err := group.Wait()
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
