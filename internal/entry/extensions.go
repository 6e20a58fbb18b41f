package entry

import (
	"context"

	"dragonflyyard/internal/process"
	"dragonflyyard/internal/tablestore"
)

// registerExtensions connects the subsystems of the entry host to the process.
func (p *Process) registerExtensions() {
	s := p.Config.Settings
	options := tablestore.DefaultOptions("http://"+s.TableAddress, "http://"+s.ObjectStoreAddress)
	options.Metrics = p.Metrics
	client := tablestore.New(options)
	calls := newPlatformCalls(client, client, s.Process.RingCapacity, p.Base)
	p.State = newState(p, calls)
	p.State.onRoster = client.SetRoster
	p.Scheduler = newScheduler(p, p.State, calls)
	p.State.registerOperators()
	p.Scheduler.registerOperators()
	p.AddDuty("platform calls", func(ctx context.Context) error {
		defer client.Close()
		return calls.run(ctx)
	})
	p.AddDuty("state", p.State.run)
	p.AddDuty("scheduler", p.Scheduler.run)
	p.OnStop(process.StageHandOver, "region lease and roster", p.State.handOver)
}
