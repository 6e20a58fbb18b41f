package entry

// registerExtensions connects the subsystems of the entry host to the process.
func (p *Process) registerExtensions() error {
	return nil
}
