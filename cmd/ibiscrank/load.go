package main

// loadCmd is the command load.
type loadCmd struct{}

// Run runs the command.
func (c *loadCmd) Run() error { return errNotBuilt }
