package agent

import "dragonflyyard/internal/process"

// registerExtensions connects the subsystems of the agent to the process.
func (p *Process) registerExtensions() error {
	p.Permits = newPermits(p)
	p.AddDuty("permits", p.Permits.run)
	if p.worker() == nil {
		return nil
	}
	p.Worker = newWorker(p)
	p.AddDuty("worker", p.Worker.run)
	p.AddDuty("worker caller", p.Worker.caller.run)
	p.OnStop(process.StageDrain, "worker tasks", p.Worker.drain)
	return nil
}
