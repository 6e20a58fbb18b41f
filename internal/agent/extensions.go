package agent

// registerExtensions connects the subsystems of the agent to the process.
func (p *Process) registerExtensions() error {
	return nil
}
